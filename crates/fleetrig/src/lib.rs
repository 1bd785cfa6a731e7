//! A fleet rig: many processes of the real program on kernel-chosen loopback ports, against stand-ins of the
//! project's own that count what the fleet does to them. So far: a list service that counts calls and can
//! refuse or stall ([`lists::ListService`]), engines that count dials and answer ([`engines::CountingEngine`]),
//! and processes started, signalled and restarted by their own ids ([`procs::Fleet`]).
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod engines;
pub mod lists;
pub mod procs;

/// Asks a manager one query on the platform's front (PostgreSQL, a simple query) and reads to the end of its
/// answer: whether rows came. Bounded by a time-out of five seconds on every read.
pub fn ask_once(at: std::net::SocketAddr, req: u64) -> std::io::Result<bool> {
    use std::io::{Read, Write};
    let mut s = std::net::TcpStream::connect_timeout(&at, std::time::Duration::from_secs(5))?;
    s.set_read_timeout(Some(std::time::Duration::from_secs(5)))?;
    let mut startup = Vec::new();
    for part in [&b"user"[..], b"app", b"database", b"core", b""] {
        startup.extend_from_slice(part);
        startup.push(0);
    }
    let mut message = ((startup.len() + 8) as u32).to_be_bytes().to_vec();
    message.extend_from_slice(&196_608u32.to_be_bytes());
    message.extend_from_slice(&startup);
    let sql =
        format!("/* kind=lane-rate,req={req:016x},timeout=5000,owner=sud */ SELECT a FROM sales_17.orders\0");
    message.push(b'Q');
    message.extend_from_slice(&((sql.len() + 4) as u32).to_be_bytes());
    message.extend_from_slice(sql.as_bytes());
    s.write_all(&message)?;
    let (mut rows, mut ready) = (false, 0);
    // Two ReadyForQuery: one after the start-up, one after the answer.
    while ready < 2 {
        let mut head = [0u8; 5];
        s.read_exact(&mut head)?;
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; len.saturating_sub(4).min(1 << 20)];
        s.read_exact(&mut body)?;
        rows |= head[0] == b'D';
        ready += usize::from(head[0] == b'Z');
    }
    Ok(rows)
}

use std::time::{Duration, Instant};

/// Events counted in buckets of time since a start.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// When each event came, since the start.
    pub at: Vec<Duration>,
}

impl Counted {
    /// Notes one event that came at `t`, counted from `start`.
    pub fn note(&mut self, start: Instant, t: Instant) {
        self.at.push(t.saturating_duration_since(start));
    }

    /// The most events in any window of `width`, sliding event by event.
    pub fn peak(&self, width: Duration) -> usize {
        let mut at = self.at.clone();
        at.sort_unstable();
        let (mut most, mut from) = (0, 0);
        for to in 0..at.len() {
            while at[to] - at[from] >= width {
                from += 1;
            }
            most = most.max(to + 1 - from);
        }
        most
    }

    /// Events in buckets of `width`, from the start up to the last event.
    pub fn buckets(&self, width: Duration) -> Vec<usize> {
        let last = self.at.iter().max().copied().unwrap_or_default();
        let mut out = vec![0; (last.as_micros() / width.as_micros().max(1)) as usize + 1];
        for t in &self.at {
            out[(t.as_micros() / width.as_micros().max(1)) as usize] += 1;
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_peak_slides_over_every_window() {
        let c = Counted { at: [0, 90, 110, 120, 500].iter().map(|ms| Duration::from_millis(*ms)).collect() };
        assert_eq!(c.peak(Duration::from_millis(100)), 3);
        // Windows are half open: 110 and 120 ms are apart by a whole window of 10 ms.
        assert_eq!(c.peak(Duration::from_millis(10)), 1);
        assert_eq!(c.peak(Duration::from_millis(11)), 2);
        assert_eq!(c.buckets(Duration::from_millis(100)), [2, 2, 0, 0, 0, 1]);
    }
}
