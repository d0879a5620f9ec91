//! HTTP/1.1 servers for the stand-ins, on loopback ports that the system assigns.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::net::TcpListener;

pub type Body = BoxBody<Bytes, Infallible>;

/// Listens on a port that the system assigns and answers requests with `answer` until the runtime ends.
pub async fn serve<F, A>(answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            _ = stream.set_nodelay(true);
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let answered = answer(request);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            tokio::task::spawn_local(async move {
                // A killed sender process resets its connections, so errors are expected here and ignored.
                _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    addr
}

/// Returns an HTTP answer with a status and a body.
pub fn with_body(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = status.try_into().unwrap();
    response
}

/// Returns an HTTP answer with a status and no body.
pub fn empty(status: u16) -> Response<Body> {
    with_body(status, Bytes::new())
}

/// Returns the value of a query parameter as a number, or `None` if the parameter is missing or not a number.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(n, _)| *n == name)?.1.parse().ok()
}

/// Reads the body of an HTTP request. Returns `None` if the body can't be read.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    Some(request.into_body().collect().await.ok()?.to_bytes())
}
