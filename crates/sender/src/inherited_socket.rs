//! The clients' listening socket, where the platform holds it and every process of the sender inherits it.
//!
//! The one place with `unsafe`: a descriptor that was there before the program was can be had by its number alone, and
//! nothing but the environment vouches for it.
#![allow(unsafe_code)]

use socket2::{SockRef, Type};
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The variable that names the descriptor.
const NAME: &str = "LB_SOCKET_FD";

/// The listening socket that the environment names, if it names one. Must be called before anything else opens files.
///
/// # Errors
/// Says what the variable or the descriptor is instead.
pub fn listener() -> Result<Option<TcpListener>, String> {
    match std::env::var(NAME) {
        Ok(text) if !text.is_empty() => read(&text).map(Some),
        _ => Ok(None),
    }
}

fn read(text: &str) -> Result<TcpListener, String> {
    let number: Option<RawFd> = text.parse().ok().filter(|n| *n > 2);
    let number = number.ok_or_else(|| format!("{NAME}: '{text}' is no descriptor's number from 3 on"))?;
    let what = std::fs::read_link(format!("/proc/self/fd/{number}"))
        .map_err(|e| format!("{NAME}: descriptor {number} is not open: {e}"))?;
    if !what.to_string_lossy().starts_with("socket:") {
        return Err(format!("{NAME}: descriptor {number} is {} and no socket", what.display()));
    }
    // SAFETY: it is open, as was just seen, and no part of this program has opened or taken it: it is called once,
    // before anything else is opened, by the number that the platform gave for this use.
    let fd = unsafe { OwnedFd::from_raw_fd(number) };
    let socket = SockRef::from(&fd);
    let kind = socket.r#type().map_err(|e| format!("{NAME}: descriptor {number}: {e}"))?;
    if kind != Type::STREAM || !socket.is_listener().unwrap_or(false) {
        return Err(format!("{NAME}: descriptor {number} is a socket on which nobody listens"));
    }
    if socket.local_addr().ok().and_then(|a| a.as_socket()).is_none() {
        return Err(format!("{NAME}: descriptor {number} listens, but not for TCP"));
    }
    let listener = TcpListener::from(fd);
    listener.set_nonblocking(true).map_err(|e| format!("{NAME}: descriptor {number}: {e}"))?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::fd::{AsRawFd, IntoRawFd};

    #[test]
    fn only_a_listening_tcp_socket_is_taken() {
        let listening = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listening.local_addr().unwrap();
        let taken = read(&listening.into_raw_fd().to_string()).unwrap();
        assert_eq!(taken.local_addr().unwrap(), addr);
        let file = std::fs::File::open("/proc/self/status").unwrap();
        let plain = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for (text, why) in [
            ("five".to_string(), "is no descriptor's number"),
            ("-1".into(), "is no descriptor's number"),
            ("1".into(), "is no descriptor's number"),
            ("999999".into(), "is not open"),
            (file.as_raw_fd().to_string(), "and no socket"),
            (plain.into_raw_fd().to_string(), "on which nobody listens"),
        ] {
            let e = read(&text).unwrap_err();
            assert!(e.contains(NAME) && e.contains(why), "{text}: {e}");
        }
    }
}
