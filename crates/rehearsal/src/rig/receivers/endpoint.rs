//! An endpoint of a stand-in receiver.
//! The endpoint listens on a separate address for each sender, so that every connection identifies its sender.

use super::fault::Fault;
use super::first_byte::FirstByteRecorder;
use super::request::Exchange;
use super::{Receiver, Receivers};
use crate::event::EventKind;
use crate::history::Event;
use crate::rig::repeated_answer::RepeatingConnection;
use crate::span::duration;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

pub(super) struct Endpoint {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) listening: Vec<AbortHandle>,
    pub(super) faults: RefCell<Vec<Fault>>,
    pub(super) workers: Semaphore,
    pub(super) waiting: Cell<usize>,
    pub(super) rng: RefCell<ChaCha8Rng>,
    pub(super) draining: Cell<bool>,
}

impl Endpoint {
    pub(super) fn fault(&self, kind: EventKind) -> Option<Fault> {
        self.faults.borrow().iter().rev().find(|f| f.kind == kind).copied()
    }

    pub(super) fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }
}

impl Receivers {
    /// Opens a new endpoint of the given receiver.
    pub(super) async fn open(self: &Rc<Self>, receiver: &Rc<Receiver>) -> io::Result<Rc<Endpoint>> {
        let number = receiver.opened_endpoints.get();
        receiver.opened_endpoints.set(number + 1);
        let scenario = &self.world.scenario;
        let name = format!("r{}-{number}", receiver.spec.number);
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..scenario.senders.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        // The endpoint gets enough workers for its share of the receiver's capacity at the mean latency.
        // All endpoints of the receiver together then have the capacity that the scenario states.
        let part = receiver.spec.capacity / receiver.spec.endpoints.max(1) as f64;
        let workers = (part * receiver.spec.latency.mean()).ceil().max(1.0) as usize;
        let seed = scenario.parameters.seed ^ ((receiver.spec.number as u64) << 20) ^ u64::from(number);
        let zone = (receiver.index + number as usize) % scenario.network.zones.len();
        let endpoint = Rc::new_cyclic(|me: &std::rc::Weak<Endpoint>| {
            let listen = |(sender, listener): (usize, TcpListener)| {
                let (receivers, receiver, endpoint) = (self.clone(), receiver.clone(), me.clone());
                let task = tokio::task::spawn_local(async move {
                    if let Some(endpoint) = endpoint.upgrade() {
                        receivers.listen(receiver, endpoint, sender, listener).await;
                    }
                });
                task.abort_handle()
            };
            Endpoint {
                name,
                zone,
                addresses,
                listening: listeners.into_iter().enumerate().map(listen).collect(),
                faults: RefCell::default(),
                workers: Semaphore::new(workers),
                waiting: Cell::new(0),
                rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
                draining: Cell::new(false),
            }
        });
        receiver.endpoints.borrow_mut().push(endpoint.clone());
        let zone = scenario.network.zones[endpoint.zone].clone();
        let (endpoint_name, receiver_number) = (endpoint.name.clone(), receiver.spec.number);
        self.world.record(Event::Endpoint { endpoint: endpoint_name, receiver: receiver_number, zone });
        Ok(endpoint)
    }

    async fn listen(
        self: Rc<Self>,
        receiver: Rc<Receiver>,
        endpoint: Rc<Endpoint>,
        sender: usize,
        listener: TcpListener,
    ) {
        let idle_close = duration(self.world.scenario.settings.idle_close.0);
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            _ = stream.set_nodelay(true);
            if receiver.resets_connections(&endpoint) {
                self.world.record(Event::Refused { sender, endpoint: endpoint.name.clone() });
                // A connection that is closed with a linger time of zero is reset.
                _ = stream.set_zero_linger();
                continue;
            }
            let (receivers, receiver, endpoint) = (self.clone(), receiver.clone(), endpoint.clone());
            tokio::task::spawn_local(async move {
                let first_byte = Rc::new(Cell::new(None));
                let (world, source) = (receivers.world.clone(), endpoint.clone());
                let connection = RepeatingConnection::new(stream, world.clone(), sender, source, |stream| {
                    FirstByteRecorder { stream, world, first_byte: first_byte.clone() }
                });
                let Ok(connection) = connection else { return };
                let new_connection = Rc::new(Cell::new(true));
                let service = service_fn(move |request| {
                    let exchange = Exchange {
                        receivers: receivers.clone(),
                        receiver: receiver.clone(),
                        endpoint: endpoint.clone(),
                        sender,
                        first_byte: first_byte.take().unwrap_or_else(|| receivers.world.now()),
                        new_connection: new_connection.replace(false),
                    };
                    exchange.answer(request)
                });
                let mut server = http1::Builder::new();
                server.timer(TokioTimer::new()).header_read_timeout(idle_close);
                // A sender that gives up a call breaks the connection, so errors of the connection are ignored.
                _ = server.serve_connection(TokioIo::new(connection), service).await;
            });
        }
    }
}
