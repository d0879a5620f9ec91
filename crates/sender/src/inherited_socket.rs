//! The clients' listening socket, if the platform holds it and each process of the sender inherits it.
//!
//! The only module with `unsafe`: an inherited descriptor is known only by a number in an environment variable.
#![allow(unsafe_code)]

use socket2::{SockRef, Type};
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// The environment variable that gives the number of the inherited descriptor.
const NAME: &str = "LB_SOCKET_FD";

/// Returns the listening socket that `LB_SOCKET_FD` names, or None if the variable is unset or empty.
/// The function `listener` must be called before any other code of the process opens files.
///
/// # Errors
/// The variable is not a descriptor number, or the descriptor is not a listening TCP socket.
pub fn listener() -> Result<Option<TcpListener>, String> {
    match std::env::var(NAME) {
        Ok(text) if !text.is_empty() => read(&text).map(Some),
        _ => Ok(None),
    }
}

fn read(text: &str) -> Result<TcpListener, String> {
    let number: Option<RawFd> = text.parse().ok().filter(|n| *n > 2);
    let number = number.ok_or_else(|| format!("{NAME}: '{text}' is not a descriptor number of 3 or more"))?;
    let target = std::fs::read_link(format!("/proc/self/fd/{number}"))
        .map_err(|e| format!("{NAME}: descriptor {number} is not open: {e}"))?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(format!("{NAME}: descriptor {number} is {}, not a socket", target.display()));
    }
    // SAFETY: the descriptor is open, as just checked, and nothing else in this program owns the descriptor.
    // This function is called once, before anything else is opened, with the number that the platform gave.
    let fd = unsafe { OwnedFd::from_raw_fd(number) };
    let socket = SockRef::from(&fd);
    let kind = socket.r#type().map_err(|e| format!("{NAME}: descriptor {number}: {e}"))?;
    if kind != Type::STREAM || !socket.is_listener().unwrap_or(false) {
        return Err(format!("{NAME}: descriptor {number} is a socket, but not a listening stream socket"));
    }
    if socket.local_addr().ok().and_then(|a| a.as_socket()).is_none() {
        return Err(format!("{NAME}: descriptor {number} is a listening socket, but not a TCP socket"));
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
    fn only_a_listening_tcp_socket_is_accepted() {
        let listening = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listening.local_addr().unwrap();
        let taken = read(&listening.into_raw_fd().to_string()).unwrap();
        assert_eq!(taken.local_addr().unwrap(), addr);
        let file = std::fs::File::open("/proc/self/status").unwrap();
        let plain = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for (text, why) in [
            ("five".to_string(), "is not a descriptor number"),
            ("-1".into(), "is not a descriptor number"),
            ("1".into(), "is not a descriptor number"),
            ("999999".into(), "is not open"),
            (file.as_raw_fd().to_string(), "not a socket"),
            (plain.into_raw_fd().to_string(), "not a listening stream socket"),
        ] {
            let e = read(&text).unwrap_err();
            assert!(e.contains(NAME) && e.contains(why), "{text}: {e}");
        }
    }
}
