//! What a process uses, as `/proc` tells it.

use anyhow::{Context, Result};
use std::fs;

/// Ticks of a second in `/proc/PID/stat`: 100 on every Linux that user space sees.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` behind the command's name: user and system time.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Resident memory, in bytes.
pub fn resident_bytes(pid: u32) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS in status")?;
    let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kilobytes * 1024.0)
}

/// Processor time since its start, in seconds.
pub fn cpu_seconds(pid: u32) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no command name in stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks =
        |field: usize| -> Result<f64> { Ok(fields.get(field).context("stat is too short")?.parse()?) };
    Ok((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND)
}
