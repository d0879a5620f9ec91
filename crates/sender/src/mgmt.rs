//! The management interface: HTTP/1.1 at an address of its own, one request per connection.
//!
//! The interface runs on the sender's only thread. A response waits for the thread's current work.
//! A sender whose event loop hangs is therefore never reported as ready.

use crate::endpoint_table::EndpointTable;
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::status::{Change, Phase, SharedStatus};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Maximum number of concurrent connections to the management interface.
/// A request is answered as soon as it is complete, so open connections have not sent a complete request yet.
/// At the limit, the oldest connection to the management interface is closed when a new one arrives.
pub const MAX_CALLERS: usize = 24;
/// Maximum time for reading the head of a request to the management interface.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum total time of a connection to the management interface, including the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Size limit in bytes for the head of a request to the management interface.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The components of the daemon that the management interface reads and changes.
#[derive(Clone)]
pub struct Management {
    pub status: SharedStatus,
    pub metrics: Rc<Metrics>,
    pub endpoints: Rc<RefCell<EndpointTable>>,
    pub placement: Option<Rc<Placement>>,
}

impl Management {
    fn response(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let wanted = match path {
            "/_ready" | "/_vars" => Method::GET,
            "/_lameduck/on" | "/_lameduck/off" => Method::POST,
            _ => {
                return text(StatusCode::NOT_FOUND, "there is no such call");
            }
        };
        if *method != wanted {
            let mut response =
                text(StatusCode::METHOD_NOT_ALLOWED, &format!("this call is made by {wanted}"));
            if let Ok(allow) = wanted.as_str().parse() {
                response.headers_mut().insert(ALLOW, allow);
            }
            return response;
        }
        match path {
            "/_ready" => match self.status.get().phase() {
                Phase::Serving => text(StatusCode::OK, "ready"),
                Phase::Standby => text(StatusCode::OK, "ready once the process before it has ended"),
                Phase::HandedOver => text(StatusCode::SERVICE_UNAVAILABLE, "replaced by another process"),
                Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, &self.starting()),
                Phase::LameDuck => text(StatusCode::SERVICE_UNAVAILABLE, "lame duck: told to empty itself"),
                Phase::Stopping => text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            },
            "/_vars" => self.vars(),
            path => match self.status.change(Change::LameDuck(path.ends_with("/on"))) {
                Ok(status) if status.phase() == Phase::LameDuck => text(StatusCode::OK, "lame duck"),
                Ok(_) => text(StatusCode::OK, "noted"),
                Err(_) => text(StatusCode::CONFLICT, "the process has been told to end, or replaced"),
            },
        }
    }

    /// Returns the readiness text of a process that is starting, with the reason if its endpoint list was rejected.
    fn starting(&self) -> String {
        let rejection = self.metrics.lists.rejection().filter(|_| self.endpoints.borrow().listed() == 0);
        match rejection {
            Some(too_long) => format!("starting: no list of endpoints: {too_long}"),
            None => "starting".into(),
        }
    }

    fn vars(&self) -> Response<Full<Bytes>> {
        let mut snapshot = self.metrics.snapshot(self.endpoints.borrow().listed());
        snapshot.placement = self.placement.as_ref().map(|placement| placement.metrics());
        let Ok(mut body) = serde_json::to_vec(&snapshot) else {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "the figures can't be written");
        };
        body.push(b'\n');
        response(StatusCode::OK, "application/json", body)
    }
}

fn text(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    response(status, "text/plain; charset=utf-8", format!("{line}\n").into_bytes())
}

fn response(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
    response
}

async fn call(socket: TcpStream, management: Management) {
    _ = socket.set_nodelay(true);
    let service = service_fn(|request: Request<_>| {
        let response = management.response(request.method(), request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // An error of the connection is ignored: the client has its error response or has disconnected.
    _ = tokio::time::timeout(CALL_TIMEOUT, connection).await;
}

/// Accepts connections to the management interface and answers their requests for ever.
pub async fn serve(listener: TcpListener, management: Management) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::with_capacity(MAX_CALLERS);
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                eprintln!("mgmt: accepting a connection failed, retrying in 20 ms: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        callers.retain(|c| !c.is_finished());
        if callers.len() >= MAX_CALLERS
            && let Some(first) = callers.pop_front()
        {
            first.abort();
        }
        callers.push_back(tokio::task::spawn_local(call(socket, management.clone())).abort_handle());
    }
}
