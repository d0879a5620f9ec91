//! The clients: they hand messages in when the plan says, however late earlier answers are, and come again after
//! refusals as the scenario has it.

use super::World;
use super::senders::Senders;
use crate::history::{Answered, Event};
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

/// Requests that wait to be written on a connection.
const WRITES_MOST: usize = 64;
/// Connections that clients keep to a sender at most; beyond that a client waits for a free one.
const CONNECTIONS_MOST: usize = 200;
/// Answers of a sender are lines no longer than this.
const LINE_MOST: usize = 4096;

/// A message over all its hand-ins.
#[derive(Clone, Debug)]
pub struct Errand {
    planned: Planned,
    due: Micros,
    origin: String,
    again: u32,
    refusals: u32,
    deadline: Micros,
}

/// What a sender's line says.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Heard {
    answered: Answered,
    after_ms: Option<u64>,
}

impl Heard {
    fn of(line: &[u8]) -> Heard {
        let text = String::from_utf8_lossy(line);
        let text = text.trim_end();
        let heard = |answered, after_ms| Heard { answered, after_ms };
        match text.strip_prefix("-BUSY") {
            _ if text.starts_with('+') => heard(Answered::Taken, None),
            Some(rest) => heard(Answered::Busy, rest.trim().parse().ok()),
            None => heard(Answered::Failed, None),
        }
    }
}

/// How a request on a connection went.
enum Went {
    Heard(Heard),
    /// The connection ended; nothing had come on it since the request was written.
    Closed,
}

struct Connection {
    requests: mpsc::Sender<(Bytes, oneshot::Sender<Went>)>,
    open: Cell<usize>,
    used: Cell<bool>,
    dead: Rc<Cell<bool>>,
}

/// The clients of all senders.
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

    /// Hands the plan's messages in, each at its time. A late answer delays none.
    pub async fn play(self: &Rc<Self>, plan: Vec<Planned>, zero: Micros) {
        for (number, planned) in plan.into_iter().enumerate() {
            let due = zero + planned.at;
            if due > self.world.now() {
                tokio::time::sleep_until(self.world.recorder.instant(due)).await;
            }
            let deadline = due + self.world.scenario.parameters.classes[planned.class].deadline;
            let origin = format!("m{number:07}");
            self.world.busy.set(self.world.busy.get() + 1);
            let errand = Errand { planned, due, origin, again: 0, refusals: 0, deadline };
            tokio::task::spawn_local(self.clone().hand_in(errand));
        }
        let end = zero + self.world.scenario.parameters.length;
        tokio::time::sleep_until(self.world.recorder.instant(end)).await;
    }

    /// Clients whose message was refused after it had been taken on come again too.
    pub async fn come_again(self: Rc<Self>, mut refusals: mpsc::Receiver<(Errand, u64)>) {
        while let Some((errand, after_ms)) = refusals.recv().await {
            let clients = self.clone();
            tokio::task::spawn_local(async move {
                let wait = clients.wait(&errand, Some(after_ms).filter(|ms| *ms > 0));
                clients.clone().once_more(errand, wait).await;
            });
        }
    }

    fn wait(&self, errand: &Errand, told_ms: Option<u64>) -> Micros {
        let figures = &self.world.scenario.clients;
        // Drawn with the plan: the same client heeds waits whenever the scenario is played.
        let heeds = f64::from(errand.planned.whim) < figures.honour;
        match told_ms.and_then(|ms| i64::try_from(ms).ok()).filter(|_| heeds) {
            Some(ms) => ms.saturating_mul(1000).min(crate::span::SPAN_MOST),
            None => figures.wait.0.saturating_mul(1 << errand.refusals.min(6)),
        }
    }

    async fn once_more(self: Rc<Self>, mut errand: Errand, wait: Micros) {
        if errand.refusals >= self.world.scenario.clients.retries
            || self.world.now() + wait >= errand.deadline
        {
            self.world.busy.set(self.world.busy.get() - 1);
            return;
        }
        tokio::time::sleep(duration(wait)).await;
        errand.refusals += 1;
        errand.again += 1;
        self.hand_in(errand).await;
    }

    /// Hands a message in once, and again after a wait where it was refused or not heard.
    async fn hand_in(self: Rc<Self>, errand: Errand) {
        let id = if errand.again == 0 {
            errand.origin.clone()
        } else {
            format!("{}-{}", errand.origin, errand.again)
        };
        let parameters = &self.world.scenario.parameters;
        let planned = Planned { sender: self.senders.front(errand.planned.sender), ..errand.planned };
        let (class, tenant) = (&parameters.classes[planned.class], &parameters.tenants[planned.tenant]);
        let receiver = parameters.receivers[planned.receiver].number;
        let now = self.world.now();
        let left = (errand.deadline - now) / 1000;
        if left <= 0 {
            self.world.busy.set(self.world.busy.get() - 1);
            return;
        }
        let key = (class.effect == Effect::Keyed).then(|| format!("k-{}", errand.origin));
        let order = class.ordered.then(|| format!("{receiver}-{}", planned.order));
        let mut fields = format!("c={},t={},d={left},dest={receiver}", class.name, tenant.name);
        if let Some(key) = &key {
            fields += &format!(",k={key}");
        }
        if errand.again > 0 {
            fields += ",r=1";
        }
        let body = self.bodies.slice(..planned.size as usize);
        let order_text = order.as_deref().unwrap_or("0000000000000000");
        let request = encode(&[b"MSG.PUT", order_text.as_bytes(), id.as_bytes(), fields.as_bytes(), &body]);
        self.world.note(Event::Offer {
            sender: planned.sender,
            id: id.clone(),
            origin: errand.origin.clone(),
            again: errand.again,
            class: planned.class,
            tenant: planned.tenant,
            receiver,
            key,
            order,
            left: left * 1000,
            due: errand.due,
        });
        self.world.count(|p| p.offered += u64::from(errand.again == 0));
        self.world.open.borrow_mut().insert(id.clone(), errand.clone());
        let heard = self.ask(planned, request).await;
        let Heard { answered, after_ms } = heard;
        self.world.note(Event::Reply { id: id.clone(), answered, after_ms });
        if answered == Answered::Taken {
            // Now it is the sender's; a refusal later comes as a notice.
            self.world.busy.set(self.world.busy.get() - 1);
            return;
        }
        self.world.open.borrow_mut().remove(&id);
        let wait = match answered {
            Answered::Busy => {
                self.world.count(|p| p.refused += 1);
                self.wait(&errand, after_ms)
            }
            Answered::Silence | Answered::Closed | Answered::Unreachable => self.wait(&errand, None),
            _ => {
                self.world.count(|p| p.failed += u64::from(answered == Answered::Failed));
                self.world.busy.set(self.world.busy.get() - 1);
                return;
            }
        };
        Box::pin(self.once_more(errand, wait)).await;
    }

    /// Writes a request on a connection of its sender's and waits as long as a client does.
    async fn ask(&self, planned: Planned, request: Bytes) -> Heard {
        let figures = &self.world.scenario.clients;
        let patience = duration(figures.patience.0);
        // One draw serves both: pipelining from one end, going away from the other.
        let whim = f64::from(planned.whim);
        let pipelined = whim < figures.pipeline;
        if whim > 1.0 - figures.leave {
            return self.leave(planned.sender, &request).await;
        }
        let heard = |answered| Heard { answered, after_ms: None };
        let until = tokio::time::Instant::now() + patience;
        for again in [false, true] {
            let connection =
                match tokio::time::timeout_at(until, self.connection(planned.sender, pipelined, again)).await
                {
                    Ok(Ok(c)) => c,
                    Ok(Err(_)) => return heard(Answered::Unreachable),
                    Err(_) => return heard(Answered::Unreachable),
                };
            let (answer, went) = oneshot::channel();
            let used = connection.used.replace(true);
            connection.open.set(connection.open.get() + 1);
            let asked = async {
                connection.requests.send((request.clone(), answer)).await.ok()?;
                went.await.ok()
            };
            let went = tokio::time::timeout_at(until, asked).await;
            connection.open.set(connection.open.get() - 1);
            match went {
                Ok(Some(Went::Heard(h))) => return h,
                // The sender closed it between requests: the client sends it once more on a new one.
                Ok(Some(Went::Closed) | None) if used && !again => {}
                Ok(Some(Went::Closed) | None) => return heard(Answered::Closed),
                Err(_) => {
                    connection.dead.set(true);
                    return heard(Answered::Silence);
                }
            }
        }
        heard(Answered::Closed)
    }

    /// A client that writes its request and goes.
    async fn leave(&self, sender: usize, request: &[u8]) -> Heard {
        let written = async {
            let mut stream = TcpStream::connect(self.senders.addr(sender)).await?;
            stream.write_all(request).await
        };
        let answered = match written.await {
            Ok(()) => Answered::Left,
            Err(_) => Answered::Unreachable,
        };
        Heard { answered, after_ms: None }
    }

    async fn connection(&self, sender: usize, pipelined: bool, fresh: bool) -> io::Result<Rc<Connection>> {
        loop {
            {
                let mut all = self.connections[sender].borrow_mut();
                all.retain(|c| !c.dead.get());
                let fits = |c: &&Rc<Connection>| if pipelined { c.open.get() > 0 } else { c.open.get() == 0 };
                if !fresh && let Some(found) = all.iter().rev().find(fits) {
                    return Ok(found.clone());
                }
                if !fresh
                    && pipelined
                    && let Some(any) = all.last()
                {
                    return Ok(any.clone());
                }
                if all.len() < CONNECTIONS_MOST {
                    break;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let stream = open(self.senders.addr(sender)).await?;
        let (requests, queue) = mpsc::channel(WRITES_MOST);
        let dead = Rc::new(Cell::new(false));
        tokio::task::spawn_local(serve(stream, queue, dead.clone()));
        let (open, used) = (Cell::new(0), Cell::new(false));
        let connection = Rc::new(Connection { requests, open, used, dead });
        self.connections[sender].borrow_mut().push(connection.clone());
        Ok(connection)
    }
}

async fn open(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Writes requests in turn and hands each its answer.
async fn serve(
    stream: TcpStream,
    mut queue: mpsc::Receiver<(Bytes, oneshot::Sender<Went>)>,
    dead: Rc<Cell<bool>>,
) {
    let (mut reader, mut writer) = stream.into_split();
    let mut waiting: VecDeque<oneshot::Sender<Went>> = VecDeque::new();
    let mut buf = BytesMut::with_capacity(256);
    loop {
        // A client that has lost its patience ends the connection.
        if dead.get() {
            break;
        }
        tokio::select! {
            biased;
            n = reader.read_buf(&mut buf) => {
                if !matches!(n, Ok(1..)) || buf.len() > LINE_MOST {
                    break;
                }
                while let Some(end) = buf.iter().position(|b| *b == b'\n') {
                    let line = buf.split_to(end + 1);
                    if let Some(answer) = waiting.pop_front() {
                        _ = answer.send(Went::Heard(Heard::of(&line)));
                    }
                }
            }
            request = queue.recv(), if waiting.len() < WRITES_MOST => {
                let Some((request, answer)) = request else { break };
                waiting.push_back(answer);
                if writer.write_all(&request).await.is_err() {
                    break;
                }
            }
            () = tokio::time::sleep(Duration::from_millis(50)), if !waiting.is_empty() => {}
        }
    }
    dead.set(true);
    for answer in waiting {
        _ = answer.send(Went::Closed);
    }
}
