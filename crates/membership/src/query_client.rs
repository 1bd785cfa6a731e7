//! Reads the view of a running member from outside the fleet. Each query and each answer is one datagram.

use crate::decoder::decode;
use crate::encoder::encode;
use crate::message::{Member, Message, MessageKind, Sender, Update};
use crate::swim::MAX_MEMBERS;
use crate::wire::MAX_DATAGRAM_BYTES;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Time-out of one attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of attempts for each page, because datagrams may be lost.
const MAX_ATTEMPTS: u32 = 5;
/// Sender name in queries.
const CLIENT_NAME: &str = "?";

/// A page of a member's view.
struct ViewPage {
    members: Vec<Member>,
    /// Number of members in the complete view.
    total: u32,
}

/// Queries the member at `address` for all members in its view; the queried member comes first.
///
/// # Errors
/// An error of the socket, or `TimedOut` if no answer arrived.
pub fn query_members(address: SocketAddr) -> io::Result<Vec<Member>> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.connect(address)?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let mut members: Vec<Member> = Vec::new();
    while members.len() <= MAX_MEMBERS {
        let page = query_page(&socket, members.len() as u32)?;
        let is_empty = page.members.is_empty();
        members.extend(page.members);
        if is_empty || members.len() >= page.total as usize {
            break;
        }
    }
    Ok(members)
}

fn query_page(socket: &UdpSocket, offset: u32) -> io::Result<ViewPage> {
    let sender = Sender { name: CLIENT_NAME.to_owned(), generation: 0, address: socket.local_addr()? };
    let query = encode(&Message { sender, kind: MessageKind::Query { offset }, updates: Vec::new() });
    for _ in 0..MAX_ATTEMPTS {
        socket.send(&query.bytes)?;
        if let Some(page) = receive_page(socket, offset)? {
            return Ok(page);
        }
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "no answer: is a member listening there?"))
}

/// Receives the page at an offset; `None` if it did not arrive within the time-out.
fn receive_page(socket: &UdpSocket, wanted_offset: u32) -> io::Result<Option<ViewPage>> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let length = match socket.recv(&mut buffer) {
            Ok(length) => length,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Ok(None);
            }
            Err(error) => return Err(error),
        };
        // Late answers to earlier queries and datagrams from other senders are ignored.
        let Ok(Message { kind: MessageKind::View { offset, total }, updates, .. }) =
            decode(&buffer[..length])
        else {
            continue;
        };
        if offset == wanted_offset {
            let members = updates.into_iter().filter_map(|update| match update {
                Update::Member { member, .. } => Some(member),
                Update::Payload { .. } => None,
            });
            return Ok(Some(ViewPage { members: members.collect(), total }));
        }
    }
}
