//! Reads the view of a running member from outside: one datagram a question, one an answer, each with a time-out.

use crate::codec::{self, Kind, Member, Message, Update, MOST_DATAGRAM};
use crate::swim::MOST_MEMBERS;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// An answer is awaited for so long, and a question asked so often: datagrams get lost.
const PATIENCE: Duration = Duration::from_millis(300);
const TRIES: u32 = 5;

/// All members that the one at `at` holds, itself first.
///
/// # Errors
/// Those of the socket; `TimedOut` where no answer came.
pub fn view(at: SocketAddr) -> io::Result<Vec<Member>> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.connect(at)?;
    socket.set_read_timeout(Some(PATIENCE))?;
    let mut all: Vec<Member> = Vec::new();
    while all.len() <= MOST_MEMBERS {
        let (page, of) = page(&socket, all.len() as u32)?;
        let more = !page.is_empty();
        all.extend(page);
        if !more || all.len() >= of as usize {
            return Ok(all);
        }
    }
    Ok(all)
}

fn page(socket: &UdpSocket, place: u32) -> io::Result<(Vec<Member>, u32)> {
    let from = ("?".to_owned(), 0, socket.local_addr()?);
    let (question, _) = codec::write(&Message { from, kind: Kind::Query(place), updates: Vec::new() });
    let mut bytes = [0; MOST_DATAGRAM + 1];
    for _ in 0..TRIES {
        socket.send(&question)?;
        loop {
            let n = match socket.recv(&mut bytes) {
                Ok(n) => n,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => break,
                Err(e) => return Err(e),
            };
            // Anything else that comes is passed over: a late answer to an earlier question, a stranger's word.
            let Ok(Message { kind: Kind::View(p, of), updates, .. }) = codec::read(&bytes[..n]) else {
                continue;
            };
            if p == place {
                let member = |u| match u {
                    Update::Member(m, _) => Some(m),
                    Update::Facts(..) => None,
                };
                return Ok((updates.into_iter().filter_map(member).collect(), of));
            }
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "no answer: is a member listening there?"))
}
