//! Memory and processor time of a process, from `/proc`.

use anyhow::{Context, Result};
use std::fs;

/// Clock ticks per second of the times in `/proc/PID/stat`: every Linux reports 100 to user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the user time in `/proc/PID/stat`, counted from the field after the command's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Returns the resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("/proc/PID/status has no VmRSS")?;
    let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kilobytes * 1024.0)
}

/// Returns the processor time of a process since its start, in seconds.
pub fn cpu_seconds(pid: u32) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("/proc/PID/stat has no command name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |field: usize| -> Result<f64> {
        Ok(fields.get(field).context("/proc/PID/stat has too few fields")?.parse()?)
    };
    Ok((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) / TICKS_PER_SECOND)
}
