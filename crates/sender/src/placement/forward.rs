//! Forwards messages to other owners, each on a connection of its own, by the decisions of `embershore_placement::Forwarding`.

use super::connection_limit::{ConnectionLimit, Reservation};
use super::metrics::{ForwardedCounters, count};
use super::{Forwarded, Placement, clock};
use crate::uninterrupted::Uninterrupted;
use bytes::BytesMut;
use embershore_placement::{ClientReply, ForwardOutcome, Forwarding, Step};
use embershore_protocol::resp::{Put, Reply};
use embershore_protocol::resp_client::{MAX_REPLY_BYTES, decode_reply, encode_put};
use heronroute::Micros;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Time limit for forwarding a message, in microseconds. The client waits 400 ms for its reply.
/// The remaining 100 ms are for the network path between client and sender.
const FORWARD_BUDGET_US: Micros = 300_000;

/// Forwards messages to other owners.
pub struct Forwarder {
    placement: Rc<Placement>,
    connections: Rc<ConnectionLimit>,
}

/// The deadlines of one attempt to forward a message to an owner.
struct Deadlines {
    /// The time by which the first byte of the message must have been written to the owner.
    begin_by: Instant,
    /// The time by which the owner's reply must have been read.
    answer_by: Instant,
}

impl Forwarder {
    /// Creates a forwarder without connections.
    pub fn new(placement: Rc<Placement>) -> Rc<Self> {
        let connections = ConnectionLimit::new(placement.options.max_owner_connections);
        Rc::new(Forwarder { placement, connections })
    }

    /// Starts forwarding a message that was read at `read_at`, and sends the outcome to `reply`.
    /// If the receiver of `reply` is dropped, the connection to the owner is closed.
    /// An owner that has not yet accepted the message withdraws it when the connection closes.
    pub fn start(
        self: &Rc<Self>,
        put: Put,
        to: Forwarded,
        read_at: Micros,
        mut reply: oneshot::Sender<Reply>,
    ) {
        let forwarder = self.clone();
        // The limit of unanswered messages bounds the number of forwarding tasks.
        tokio::task::spawn_local(async move {
            tokio::select! {
                biased;
                client_reply = forwarder.forward(&put, to, read_at) => {
                    forwarder.count(&client_reply);
                    _ = reply.send(reply_of(client_reply));
                }
                () = reply.closed() => {}
            }
        });
    }

    async fn forward(&self, put: &Put, to: Forwarded, read_at: Micros) -> ClientReply {
        let mut forwarding = Forwarding::new(to.effect, to.candidates, read_at, FORWARD_BUDGET_US);
        let mut step = forwarding.start(clock::now());
        loop {
            match step {
                Step::Reply(client_reply) => return client_reply,
                Step::Send { to, write_timeout, answer_timeout } => {
                    let outcome = match self.placement.address_of(to) {
                        Some(owner) => {
                            self.send(owner, put, read_at, deadlines_from_now(write_timeout, answer_timeout))
                                .await
                        }
                        None => ForwardOutcome::NotSent,
                    };
                    if outcome == ForwardOutcome::Unknown {
                        count(&self.counters().unknown);
                    }
                    step = forwarding.record_outcome(clock::now(), outcome);
                }
            }
        }
    }

    /// Sends the message to one owner of its destination.
    async fn send(
        &self,
        owner: SocketAddr,
        put: &Put,
        read_at: Micros,
        deadlines: Deadlines,
    ) -> ForwardOutcome {
        let started = timeout_at(deadlines.begin_by, self.begin(owner, put, read_at)).await;
        let Ok(Ok(mut exchange)) = started else { return ForwardOutcome::NotSent };
        let finished = timeout_at(deadlines.answer_by, exchange.finish()).await;
        finished.ok().and_then(Result::ok).map_or(ForwardOutcome::Unknown, outcome_of)
    }

    /// Connects to an owner and writes the message's first bytes.
    /// If the returned future is dropped before it completes, nothing has been written to the owner.
    async fn begin(&self, owner: SocketAddr, put: &Put, read_at: Micros) -> io::Result<Exchange> {
        let reservation = self.connections.reserve(owner).await;
        let mut stream = Uninterrupted(reservation.connect().await?);
        let passed = clock::now() - read_at;
        let command = encode_put(&Put { time_left: put.time_left - passed, ..put.clone() });
        let written = stream.write(&command).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(Exchange { _reservation: reservation, stream, command, written, answer: BytesMut::new() })
    }

    fn counters(&self) -> &ForwardedCounters {
        &self.placement.counters.forwarded
    }

    fn count(&self, client_reply: &ClientReply) {
        let counters = self.counters();
        count(match client_reply {
            ClientReply::Accepted => &counters.taken,
            ClientReply::Busy { .. } => &counters.busy,
            ClientReply::Failed | ClientReply::Invalid(_) => &counters.failed,
        });
    }
}

/// The exchange of a message with an owner, after at least one byte has been written.
struct Exchange {
    _reservation: Reservation,
    stream: Uninterrupted<TcpStream>,
    command: Vec<u8>,
    written: usize,
    answer: BytesMut,
}

impl Exchange {
    /// Writes the rest of the command to the owner and reads the owner's reply.
    async fn finish(&mut self) -> io::Result<Reply> {
        self.stream.write_all(&self.command[self.written..]).await?;
        let mut end = None;
        while end.is_none() {
            if self.answer.len() >= MAX_REPLY_BYTES || self.stream.read_buf(&mut self.answer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            end = self.answer.windows(2).position(|bytes| bytes == b"\r\n");
        }
        // Whatever follows the first line belongs to no message.
        decode_reply(&self.answer[..end.unwrap_or(0)]).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

fn deadlines_from_now(begin_within: Micros, answer_within: Micros) -> Deadlines {
    let now = Instant::now();
    Deadlines { begin_by: now + span(begin_within), answer_by: now + span(answer_within) }
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

fn outcome_of(reply: Reply) -> ForwardOutcome {
    match reply {
        Reply::Accepted => ForwardOutcome::Accepted,
        Reply::Busy { retry_after_ms } => ForwardOutcome::Busy { retry_after_ms },
        Reply::Failed => ForwardOutcome::Invalid("the message failed".into()),
        Reply::Invalid(reason) => ForwardOutcome::Invalid(reason.into_owned()),
    }
}

fn reply_of(client_reply: ClientReply) -> Reply {
    match client_reply {
        ClientReply::Accepted => Reply::Accepted,
        ClientReply::Busy { retry_after_ms } => Reply::Busy { retry_after_ms },
        ClientReply::Failed => Reply::Failed,
        ClientReply::Invalid(reason) => Reply::Invalid(reason.into()),
    }
}
