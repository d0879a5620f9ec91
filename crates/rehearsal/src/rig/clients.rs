//! The senders' clients: they send messages at the planned times, whether or not earlier replies have arrived.
//! Clients retry refused messages as the scenario defines.

use super::World;
use super::senders::Senders;
use crate::history::{Event, PutOutcome};
use crate::parameters::Effect;
use crate::plan::Planned;
use crate::span::{Micros, duration};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of requests on a connection that wait to be written, and of requests that wait for a reply.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Maximum number of client connections to a sender; beyond that, a client waits for a free connection.
const MAX_CONNECTIONS_PER_SENDER: usize = 200;
/// Maximum length of a sender's reply line, in bytes.
const MAX_LINE_BYTES: usize = 4096;

/// A client's message with the state of its retries by the client.
#[derive(Clone, Debug)]
pub struct ClientMessage {
    planned: Planned,
    due: Micros,
    origin: String,
    retries: u32,
    refusals: u32,
    deadline: Micros,
}

/// Reply of a sender to a message put (MSG.PUT command).
#[derive(Clone, Copy, Debug, PartialEq)]
struct PutReply {
    answered: PutOutcome,
    after_ms: Option<u64>,
}

impl PutReply {
    fn parse(line: &[u8]) -> PutReply {
        let text = String::from_utf8_lossy(line);
        let text = text.trim_end();
        let reply = |answered, after_ms| PutReply { answered, after_ms };
        match text.strip_prefix("-BUSY") {
            _ if text.starts_with('+') => reply(PutOutcome::Accepted, None),
            Some(rest) => reply(PutOutcome::Busy, rest.trim().parse().ok()),
            None => reply(PutOutcome::Failed, None),
        }
    }
}

/// Outcome of a client's request on a connection.
enum RequestOutcome {
    Replied(PutReply),
    /// The connection ended before the reply to the request.
    Closed,
}

struct Connection {
    requests: mpsc::Sender<(Bytes, oneshot::Sender<RequestOutcome>)>,
    open: Cell<usize>,
    used: Cell<bool>,
    closed: Rc<Cell<bool>>,
}

/// The clients of all senders, with their connections.
pub struct Clients {
    world: Rc<World>,
    senders: Rc<Senders>,
    connections: Vec<RefCell<Vec<Rc<Connection>>>>,
    bodies: Bytes,
}

fn encode(args: &[&[u8]]) -> Bytes {
    let mut out = BytesMut::new();
    out.extend_from_slice(format!("*{}\r\n", args.len()).as_bytes());
    for a in args {
        out.extend_from_slice(format!("${}\r\n", a.len()).as_bytes());
        out.extend_from_slice(a);
        out.extend_from_slice(b"\r\n");
    }
    out.freeze()
}

impl Clients {
    pub fn new(world: Rc<World>, senders: Rc<Senders>) -> Rc<Clients> {
        let connections = world.scenario.senders.iter().map(|_| RefCell::default()).collect();
        let bodies = Bytes::from(vec![b'x'; embershore_protocol::resp::MAX_BODY_BYTES]);
        Rc::new(Clients { world, senders, connections, bodies })
    }

    /// Sends the planned messages at their planned times. A late reply does not delay other messages.
    pub async fn play(self: &Rc<Self>, plan: Vec<Planned>, traffic_start: Micros) {
        for (number, planned) in plan.into_iter().enumerate() {
            let due = traffic_start + planned.at;
            if due > self.world.now() {
                tokio::time::sleep_until(self.world.recorder.instant(due)).await;
            }
            let deadline = due + self.world.scenario.parameters.classes[planned.class].deadline;
            let origin = format!("m{number:07}");
            self.world.pending_puts.set(self.world.pending_puts.get() + 1);
            let message = ClientMessage { planned, due, origin, retries: 0, refusals: 0, deadline };
            tokio::task::spawn_local(self.clone().put(message));
        }
        let end = traffic_start + self.world.scenario.parameters.length;
        tokio::time::sleep_until(self.world.recorder.instant(end)).await;
    }

    /// Retries messages that senders refused after having accepted them.
    pub async fn retry_returned(self: Rc<Self>, mut refusals: mpsc::Receiver<(ClientMessage, u64)>) {
        while let Some((message, after_ms)) = refusals.recv().await {
            let clients = self.clone();
            tokio::task::spawn_local(async move {
                let wait = clients.retry_wait(&message, Some(after_ms).filter(|ms| *ms > 0));
                clients.clone().retry_after(message, wait).await;
            });
        }
    }

    fn retry_wait(&self, message: &ClientMessage, advertised_ms: Option<u64>) -> Micros {
        let behaviour = &self.world.scenario.clients;
        // The message's random number in the load plan decides whether its client observes an advertised wait.
        // The same clients therefore observe waits in every rehearsal.
        let observes_waits = f64::from(message.planned.client_draw) < behaviour.honour;
        match advertised_ms.and_then(|ms| i64::try_from(ms).ok()).filter(|_| observes_waits) {
            Some(ms) => ms.saturating_mul(1000).min(crate::span::MAX_SPAN_US),
            None => behaviour.wait.0.saturating_mul(1 << message.refusals.min(6)),
        }
    }

    async fn retry_after(self: Rc<Self>, mut message: ClientMessage, wait: Micros) {
        if message.refusals >= self.world.scenario.clients.retries
            || self.world.now() + wait >= message.deadline
        {
            self.world.pending_puts.set(self.world.pending_puts.get() - 1);
            return;
        }
        tokio::time::sleep(duration(wait)).await;
        message.refusals += 1;
        message.retries += 1;
        self.put(message).await;
    }

    /// Sends a message to its sender, and again after a wait if the message was refused or got no reply.
    async fn put(self: Rc<Self>, message: ClientMessage) {
        let id = if message.retries == 0 {
            message.origin.clone()
        } else {
            format!("{}-{}", message.origin, message.retries)
        };
        let parameters = &self.world.scenario.parameters;
        let planned =
            Planned { sender: self.senders.route_client(message.planned.sender), ..message.planned };
        let (class, tenant) = (&parameters.classes[planned.class], &parameters.tenants[planned.tenant]);
        let receiver = parameters.receivers[planned.receiver].number;
        let now = self.world.now();
        let left = (message.deadline - now) / 1000;
        if left <= 0 {
            self.world.pending_puts.set(self.world.pending_puts.get() - 1);
            return;
        }
        let key = (class.effect == Effect::Keyed).then(|| format!("k-{}", message.origin));
        let order = class.ordered.then(|| format!("{receiver}-{}", planned.order));
        let mut fields = format!("c={},t={},d={left},dest={receiver}", class.name, tenant.name);
        if let Some(key) = &key {
            fields += &format!(",k={key}");
        }
        if message.retries > 0 {
            fields += ",r=1";
        }
        let body = self.bodies.slice(..planned.size as usize);
        let order_text = order.as_deref().unwrap_or("0000000000000000");
        let request = encode(&[b"MSG.PUT", order_text.as_bytes(), id.as_bytes(), fields.as_bytes(), &body]);
        self.world.record(Event::Offer {
            sender: planned.sender,
            id: id.clone(),
            origin: message.origin.clone(),
            retries: message.retries,
            class: planned.class,
            tenant: planned.tenant,
            receiver,
            key,
            order,
            time_left: left * 1000,
            due: message.due,
        });
        self.world.count(|p| p.offered += u64::from(message.retries == 0));
        self.world.open_messages.borrow_mut().insert(id.clone(), message.clone());
        let reply = self.send(planned, request).await;
        let PutReply { answered, after_ms } = reply;
        self.world.record(Event::Reply { id: id.clone(), answered, after_ms });
        if answered == PutOutcome::Accepted {
            // The sender is responsible for a message once it has accepted it; it reports a later refusal in a notice.
            self.world.pending_puts.set(self.world.pending_puts.get() - 1);
            return;
        }
        self.world.open_messages.borrow_mut().remove(&id);
        let wait = match answered {
            PutOutcome::Busy => {
                self.world.count(|p| p.refused += 1);
                self.retry_wait(&message, after_ms)
            }
            PutOutcome::TimedOut | PutOutcome::Closed | PutOutcome::Unreachable => {
                self.retry_wait(&message, None)
            }
            _ => {
                self.world.count(|p| p.failed += u64::from(answered == PutOutcome::Failed));
                self.world.pending_puts.set(self.world.pending_puts.get() - 1);
                return;
            }
        };
        Box::pin(self.retry_after(message, wait)).await;
    }

    /// Sends a request to the planned sender and waits for the reply until the client's patience ends.
    async fn send(&self, planned: Planned, request: Bytes) -> PutReply {
        let behaviour = &self.world.scenario.clients;
        let patience = duration(behaviour.patience.0);
        // A single random number decides: clients with low values pipeline, those with high values disconnect.
        let draw = f64::from(planned.client_draw);
        let pipelined = draw < behaviour.pipeline;
        if draw > 1.0 - behaviour.leave {
            return self.put_and_disconnect(planned.sender, &request).await;
        }
        let reply = |answered| PutReply { answered, after_ms: None };
        let until = tokio::time::Instant::now() + patience;
        for retry in [false, true] {
            let connection =
                match tokio::time::timeout_at(until, self.connection(planned.sender, pipelined, retry)).await
                {
                    Ok(Ok(c)) => c,
                    Ok(Err(_)) => return reply(PutOutcome::Unreachable),
                    Err(_) => return reply(PutOutcome::Unreachable),
                };
            let (reply_to, outcome) = oneshot::channel();
            let used = connection.used.replace(true);
            connection.open.set(connection.open.get() + 1);
            let exchange = async {
                connection.requests.send((request.clone(), reply_to)).await.ok()?;
                outcome.await.ok()
            };
            let outcome = tokio::time::timeout_at(until, exchange).await;
            connection.open.set(connection.open.get() - 1);
            match outcome {
                Ok(Some(RequestOutcome::Replied(reply))) => return reply,
                // The sender closed the reused connection, so the client sends the request again on a new one.
                Ok(Some(RequestOutcome::Closed) | None) if used && !retry => {}
                Ok(Some(RequestOutcome::Closed) | None) => return reply(PutOutcome::Closed),
                Err(_) => {
                    connection.closed.set(true);
                    return reply(PutOutcome::TimedOut);
                }
            }
        }
        reply(PutOutcome::Closed)
    }

    /// Sends a request to a sender and disconnects without waiting for the reply.
    async fn put_and_disconnect(&self, sender: usize, request: &[u8]) -> PutReply {
        let written = async {
            let mut stream = TcpStream::connect(self.senders.addr(sender)).await?;
            stream.write_all(request).await
        };
        let answered = match written.await {
            Ok(()) => PutOutcome::Abandoned,
            Err(_) => PutOutcome::Unreachable,
        };
        PutReply { answered, after_ms: None }
    }

    async fn connection(
        &self,
        sender: usize,
        pipelined: bool,
        force_new: bool,
    ) -> io::Result<Rc<Connection>> {
        loop {
            {
                let mut all = self.connections[sender].borrow_mut();
                all.retain(|c| !c.closed.get());
                let is_suitable =
                    |c: &&Rc<Connection>| if pipelined { c.open.get() > 0 } else { c.open.get() == 0 };
                if !force_new && let Some(suitable) = all.iter().rev().find(is_suitable) {
                    return Ok(suitable.clone());
                }
                if !force_new
                    && pipelined
                    && let Some(last) = all.last()
                {
                    return Ok(last.clone());
                }
                if all.len() < MAX_CONNECTIONS_PER_SENDER {
                    break;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let stream = open(self.senders.addr(sender)).await?;
        let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let closed = Rc::new(Cell::new(false));
        tokio::task::spawn_local(serve(stream, queue, closed.clone()));
        let (open, used) = (Cell::new(0), Cell::new(false));
        let connection = Rc::new(Connection { requests, open, used, closed });
        self.connections[sender].borrow_mut().push(connection.clone());
        Ok(connection)
    }
}

async fn open(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes a connection's requests in turn and passes each reply to the client that made the request.
async fn serve(
    stream: TcpStream,
    mut queue: mpsc::Receiver<(Bytes, oneshot::Sender<RequestOutcome>)>,
    closed: Rc<Cell<bool>>,
) {
    let (mut reader, mut writer) = stream.into_split();
    let mut unanswered: VecDeque<oneshot::Sender<RequestOutcome>> = VecDeque::new();
    let mut buf = BytesMut::with_capacity(256);
    loop {
        // A client that got no reply in time marks the connection as closed.
        if closed.get() {
            break;
        }
        tokio::select! {
            biased;
            n = reader.read_buf(&mut buf) => {
                if !matches!(n, Ok(1..)) || buf.len() > MAX_LINE_BYTES {
                    break;
                }
                while let Some(end) = buf.iter().position(|b| *b == b'\n') {
                    let line = buf.split_to(end + 1);
                    if let Some(reply_to) = unanswered.pop_front() {
                        _ = reply_to.send(RequestOutcome::Replied(PutReply::parse(&line)));
                    }
                }
            }
            request = queue.recv(), if unanswered.len() < MAX_QUEUED_REQUESTS => {
                let Some((request, reply_to)) = request else { break };
                unanswered.push_back(reply_to);
                if writer.write_all(&request).await.is_err() {
                    break;
                }
            }
            () = tokio::time::sleep(Duration::from_millis(50)), if !unanswered.is_empty() => {}
        }
    }
    closed.set(true);
    for reply_to in unanswered {
        _ = reply_to.send(RequestOutcome::Closed);
    }
}
