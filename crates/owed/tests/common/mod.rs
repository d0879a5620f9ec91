//! Test data, and a simulated disk that fails on command.
#![allow(dead_code)]

use bytes::Bytes;
use embershore_owed::*;
use heronroute::{Effect, Micros};
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub const S: Micros = 1_000_000;

pub fn classes() -> Vec<ClassFacts> {
    let class =
        |name: &str, effect, window| ClassFacts { name: name.into(), effect, window, deadline: 20 * S };
    vec![
        class("quota", Effect::Safe, 0),
        class("response", Effect::Keyed, 10 * S),
        class("payout", Effect::Unsafe, 0),
    ]
}

pub fn message(request_id: &str, class: &str, dest: i64) -> Message {
    Message {
        request_id: request_id.into(),
        idempotency_key: Some(format!("k{request_id}")),
        class: class.into(),
        tenant: "acme".into(),
        dest,
        key: "survey-7".into(),
        order: 1,
        body: Bytes::from_static(b"body"),
    }
}

pub fn attempt(at: Micros, outcome: AttemptOutcome) -> Attempt {
    Attempt { endpoint: "s-1".into(), at, outcome }
}

pub fn debt(class: &str, outcomes: &[AttemptOutcome]) -> Debt {
    let attempts: Vec<_> =
        outcomes.iter().enumerate().map(|(n, outcome)| attempt((n as Micros + 1) * S, *outcome)).collect();
    let reason = Reason::of(&attempts, true, 8);
    Debt::new(message("m1", class, 3), attempts, reason, 20 * S)
}

/// The contents of a simulated disk, and the writes that are not synced yet.
#[derive(Debug, Default)]
pub struct Disk {
    synced: Vec<u8>,
    written: Vec<u8>,
    pending: Vec<(u64, Vec<u8>)>,
    ops: u64,
    /// Number of writes, syncs and length changes after which every operation of the disk fails.
    pub fails_after_ops: Option<u64>,
}

/// A handle on a simulated disk. Clones of a handle share the disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(pub Arc<Mutex<Disk>>);

impl FaultyDisk {
    pub fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn ops(&self) -> u64 {
        self.disk().ops
    }

    /// Returns the disk after the process was killed: with all writes, synced or not.
    pub fn after_kill(&self) -> FaultyDisk {
        let disk = self.disk();
        let (synced, written) = (disk.written.clone(), disk.written.clone());
        FaultyDisk(Arc::new(Mutex::new(Disk { synced, written, ..Disk::default() })))
    }

    /// Returns the disk after a power failure, which preserves all synced writes.
    /// Of the unsynced writes, the power failure preserves those that the bits of the seed select.
    pub fn after_power_failure(&self, seed: u64) -> FaultyDisk {
        let disk = self.disk();
        let mut bytes = disk.synced.clone();
        bytes.resize(bytes.len().max(disk.written.len()), 0);
        for (n, (at, data)) in disk.pending.iter().enumerate() {
            if seed.rotate_left(n as u32 * 7) & 1 == 1 {
                bytes[*at as usize..*at as usize + data.len()].copy_from_slice(data);
            }
        }
        FaultyDisk(Arc::new(Mutex::new(Disk { synced: bytes.clone(), written: bytes, ..Disk::default() })))
    }

    pub fn len(&self) -> u64 {
        self.disk().written.len() as u64
    }
}

impl Disk {
    fn count_op(&mut self) -> io::Result<()> {
        self.ops += 1;
        match self.fails_after_ops {
            Some(at) if self.ops > at => Err(io::Error::other("simulated disk failure")),
            _ => Ok(()),
        }
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk().written.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let disk = self.disk();
        let range = offset as usize..offset as usize + out.len();
        out.copy_from_slice(disk.written.get(range).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_op()?;
        disk.written.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_op()?;
        let len = disk.written.len();
        disk.synced.resize(len, 0);
        for (at, data) in std::mem::take(&mut disk.pending) {
            // Skips a write that is beyond the end of the file, which was truncated after the write.
            if let Some(place) = disk.synced.get_mut(at as usize..at as usize + data.len()) {
                place.copy_from_slice(&data);
            }
        }
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_op()?;
        let at = offset as usize;
        disk.written[at..at + data.len()].copy_from_slice(data);
        disk.pending.push((offset, data.to_vec()));
        Ok(())
    }
}
