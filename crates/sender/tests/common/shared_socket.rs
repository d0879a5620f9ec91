//! Processes of one sender that replace each other on one listening socket.

use super::{Client, Platform, config, mgmt_request, own_loopback, reserve_address, signal, wait_until};
use std::os::fd::AsRawFd;
use std::process::{Child, Command};

/// Processes of one sender that share a listening socket, which the test keeps open.
/// The platform keeps the listening socket open when it replaces a process.
pub struct SharedSocket {
    pub listener: std::net::TcpListener,
    pub addr: std::net::SocketAddr,
    pub folder: tempfile::TempDir,
    /// Loopback address of the processes' management interfaces.
    own: std::net::Ipv4Addr,
    /// Running sender processes, with the addresses of their management interfaces.
    pub running: Vec<(Child, std::net::SocketAddr)>,
}

impl SharedSocket {
    pub fn new(platform: &Platform) -> Self {
        Self::with(platform, |_| {})
    }

    /// Creates the processes' configuration as edited by `change`.
    pub fn with(platform: &Platform, change: impl Fn(&mut serde_json::Value)) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let folder = tempfile::tempdir().unwrap();
        std::fs::create_dir(folder.path().join("state")).unwrap();
        let mut config = config(addr, platform, 1024);
        // 400 open messages are enough for all messages that a test puts simultaneously.
        // With a lower limit, some messages would be returned for lack of room on a slow machine.
        config["settings"]["Limits"]["MaxOpen"] = 400.into();
        change(&mut config);
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        SharedSocket { listener, addr, folder, own: own_loopback(), running: Vec::new() }
    }

    /// Starts a process next to the running processes and returns the number of the new process.
    pub fn start(&mut self) -> usize {
        let mgmt = reserve_address(self.own);
        // The duplicate of the listening socket stays open across exec; the listener itself does not.
        let inherit = rustix::io::dup(&self.listener).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_embershore"))
            .env("LB_CONFIG", self.folder.path().join("config.json"))
            .env("LB_STATE", self.folder.path().join("state"))
            .env("LB_MGMT", mgmt.to_string())
            .env("LB_SOCKET_FD", inherit.as_raw_fd().to_string())
            .spawn()
            .unwrap();
        self.running.push((child, mgmt));
        self.running.len() - 1
    }

    pub fn ready(&self, n: usize) -> bool {
        mgmt_request(self.running[n].1, "GET /_ready").is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, n: usize) {
        wait_until("the process to be ready", || self.ready(n));
    }

    pub fn client(&self) -> Client {
        Client::new(self.addr)
    }

    pub fn signal(&self, n: usize, name: &str) {
        signal(&self.running[n].0, name);
    }

    pub fn wait_exit(&mut self, n: usize) -> std::process::ExitStatus {
        let mut status = None;
        wait_until("the process to end", || {
            status = self.running[n].0.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for SharedSocket {
    fn drop(&mut self) {
        for (child, _) in &mut self.running {
            _ = child.kill();
            _ = child.wait();
        }
    }
}
