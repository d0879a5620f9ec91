//! The operators' door: HTTP/1.1 at an address of its own, one call to a connection.
//!
//! It runs on the sender's one thread: an answer waits for what that thread is at, and `ready` is never said for a
//! loop that hangs.

use crate::figures::Figures;
use crate::fleet::Fleet;
use crate::placement::Placement;
use crate::standing::{Change, Phase, Standings};
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

/// Callers at once. A call is answered as soon as it has come, so that those that are here have not said all
/// they have to say; the one that came first gives way to a newcomer.
pub const CALLERS_MOST: usize = 24;
/// A call's head must have come by then.
const HEAD_TIME: Duration = Duration::from_secs(2);
/// A caller is here no longer than this, answer and all.
const CALL_TIME: Duration = Duration::from_secs(3);
/// The longest head that is read.
const HEAD_MOST: usize = 8 * 1024;

/// What the door shows, and what it changes.
#[derive(Clone)]
pub struct Door {
    pub standings: Standings,
    pub figures: Rc<Figures>,
    pub fleet: Rc<RefCell<Fleet>>,
    pub placement: Option<Rc<Placement>>,
}

impl Door {
    fn answer(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let wanted = match path {
            "/_ready" | "/_vars" => Method::GET,
            "/_lameduck/on" | "/_lameduck/off" => Method::POST,
            _ => return text(StatusCode::NOT_FOUND, "there is no such call"),
        };
        if *method != wanted {
            let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, &format!("this call is made by {wanted}"));
            if let Ok(allow) = wanted.as_str().parse() {
                answer.headers_mut().insert(ALLOW, allow);
            }
            return answer;
        }
        match path {
            "/_ready" => match self.standings.get().phase() {
                Phase::Serving => text(StatusCode::OK, "ready"),
                Phase::Standby => text(StatusCode::OK, "ready once the process before it has ended"),
                Phase::HandedOver => text(StatusCode::SERVICE_UNAVAILABLE, "replaced by another process"),
                Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting"),
                Phase::LameDuck => text(StatusCode::SERVICE_UNAVAILABLE, "lame duck: told to empty itself"),
                Phase::Stopping => text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            },
            "/_vars" => self.vars(),
            path => match self.standings.change(Change::LameDuck(path.ends_with("/on"))) {
                Ok(standing) if standing.phase() == Phase::LameDuck => text(StatusCode::OK, "lame duck"),
                Ok(_) => text(StatusCode::OK, "noted"),
                Err(_) => text(StatusCode::CONFLICT, "the process has been told to end, or replaced"),
            },
        }
    }

    fn vars(&self) -> Response<Full<Bytes>> {
        let mut told = self.figures.tell(self.fleet.borrow().listed());
        told.placement = self.placement.as_ref().map(|placement| placement.figures());
        let Ok(mut body) = serde_json::to_vec(&told) else {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "the figures can't be written");
        };
        body.push(b'\n');
        whole(StatusCode::OK, "application/json", body)
    }
}

fn text(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    whole(status, "text/plain; charset=utf-8", format!("{line}\n").into_bytes())
}

fn whole(status: StatusCode, kind: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
    answer
}

async fn call(socket: TcpStream, door: Door) {
    _ = socket.set_nodelay(true);
    let service = service_fn(|request: Request<_>| {
        let answer = door.answer(request.method(), request.uri().path());
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(HEAD_MOST)
        .serve_connection(TokioIo::new(socket), service);
    // A caller that breaks off or can't be understood has been told so, or has gone.
    _ = tokio::time::timeout(CALL_TIME, connection).await;
}

/// Answers calls for ever.
pub async fn serve(listener: TcpListener, door: Door) {
    let mut callers: VecDeque<AbortHandle> = VecDeque::with_capacity(CALLERS_MOST);
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                eprintln!("mgmt: accept: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        callers.retain(|c| !c.is_finished());
        if callers.len() >= CALLERS_MOST
            && let Some(first) = callers.pop_front()
        {
            first.abort();
        }
        callers.push_back(tokio::task::spawn_local(call(socket, door.clone())).abort_handle());
    }
}
