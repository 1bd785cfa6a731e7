//! The datagrams of the membership: one message each, in at most [`MOST_DATAGRAM`] bytes, with a checksum, for UDP's
//! own is weak and optional. Reading is bounded by the datagram, never panics, and takes nothing that is longer
//! than it may be: whatever comes from the network may be hostile.
//!
//! Layout, all numbers big-endian: `SL`, version (1), kind (1), the sender's name, life and address, the kind's own
//! fields, the count of updates (1) and the updates, and the CRC-32 of all that. Texts have their length before them
//! (1). A reader takes its own version only: members of two versions are two fleets.

use crate::facts::{Facts, MOST_ENGINES};
use crate::terms::MOST_NAME;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Longest datagram: one Ethernet frame with room for headers, so that none is fragmented on the way.
pub const MOST_DATAGRAM: usize = 1_400;
/// Version of the format.
const VERSION: u8 = 1;
const MAGIC: [u8; 2] = *b"SL";

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, and may refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// A member as news tell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name: the same after a restart.
    pub name: String,
    /// Its life: when it started, in Unix milliseconds.
    pub life: u64,
    /// Its own count of refutations within that life.
    pub incarnation: u32,
    /// How it stands.
    pub state: State,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// How a member stands, and who says so first (suspicions are counted by who has them).
    Member(Member, String),
    /// A member's summary, of one of its lives.
    Facts(String, u64, Facts),
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A probe of the member named; answered by `Ack` with its number.
    Ping(u32, String),
    /// The answer.
    Ack(u32),
    /// Probe the member named at this address in my stead; `Ack` or `Nack` with this number.
    PingReq(u32, String, SocketAddr),
    /// It did not answer me either; I am well.
    Nack(u32),
    /// News only.
    Gossip,
    /// My view's digest and size. If yours differs, send me yours; `true`: and I have sent mine.
    Digest(u64, u32, bool),
    /// Somebody outside asks for part of the view, from this place on; the datagram must be padded to
    /// [`MOST_DATAGRAM`], so that an answer is never larger than its question.
    Query(u32),
    /// The answer: from which place, of how many members; the members are the updates.
    View(u32, u32),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Who sends it: name, life, address as advertised.
    pub from: (String, u64, SocketAddr),
    /// What it is for.
    pub kind: Kind,
    /// News that ride on it.
    pub updates: Vec<Update>,
}

/// What a datagram is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Not of this protocol, or of another version.
    Foreign,
    /// Its checksum does not fit.
    Spoilt,
    /// It ends too soon, goes on too long, or holds what no message has: the field.
    Field(&'static str),
}

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Malformed::Foreign => f.write_str("not a message of this protocol and version"),
            Malformed::Spoilt => f.write_str("its checksum does not fit"),
            Malformed::Field(name) => write!(f, "field {name} is missing, too long or out of range"),
        }
    }
}
impl std::error::Error for Malformed {}

struct Writer(Vec<u8>);

impl Writer {
    fn text(&mut self, t: &str) {
        // Cut at a character: a name that is too long was refused at the settings.
        let mut end = t.len().min(MOST_NAME);
        while !t.is_char_boundary(end) {
            end -= 1;
        }
        self.0.push(end as u8);
        self.0.extend_from_slice(&t.as_bytes()[..end]);
    }
    fn u32(&mut self, v: u32) {
        self.0.extend_from_slice(&v.to_be_bytes());
    }
    fn u64(&mut self, v: u64) {
        self.0.extend_from_slice(&v.to_be_bytes());
    }
    fn address(&mut self, a: SocketAddr) {
        let v4 = match a {
            SocketAddr::V4(a) => a,
            // IPv4 only, by the settings; what is not is told as nobody's.
            SocketAddr::V6(_) => SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        };
        self.0.extend_from_slice(&v4.ip().octets());
        self.0.extend_from_slice(&v4.port().to_be_bytes());
    }
    fn update(&mut self, u: &Update) {
        match u {
            Update::Member(m, by) => {
                self.0.push(m.state as u8);
                self.text(&m.name);
                self.u64(m.life);
                self.u32(m.incarnation);
                self.address(m.address);
                self.text(&m.zone);
                self.text(&m.region);
                self.text(by);
            }
            Update::Facts(name, life, f) => {
                self.0.push(4);
                self.text(name);
                self.u64(*life);
                [f.version, f.taken, f.spent].iter().for_each(|v| self.u32(*v));
                let (unreachable, cold) =
                    (f.unreachable.len().min(MOST_ENGINES), f.cold.len().min(MOST_ENGINES));
                self.0.push(unreachable as u8);
                f.unreachable[..unreachable].iter().for_each(|e| self.u64(*e));
                self.0.push(cold as u8);
                f.cold[..cold].iter().for_each(|(e, ms)| {
                    self.u64(*e);
                    self.u32(*ms);
                });
            }
        }
    }
}

/// Bytes of an update as written.
pub fn size(update: &Update) -> usize {
    let mut w = Writer(Vec::with_capacity(128));
    w.update(update);
    w.0.len()
}

/// Writes a message. Updates that do not fit any more are left out: their number is returned beside it.
pub fn write(message: &Message) -> (Vec<u8>, usize) {
    let mut w = Writer(Vec::with_capacity(MOST_DATAGRAM));
    w.0.extend_from_slice(&MAGIC);
    w.0.push(VERSION);
    w.0.push(match message.kind {
        Kind::Ping(..) => 0,
        Kind::Ack(_) => 1,
        Kind::PingReq(..) => 2,
        Kind::Nack(_) => 3,
        Kind::Gossip => 4,
        Kind::Digest(..) => 5,
        Kind::Query(_) => 6,
        Kind::View(..) => 7,
    });
    w.text(&message.from.0);
    w.u64(message.from.1);
    w.address(message.from.2);
    match &message.kind {
        Kind::Ping(seq, to) => {
            w.u32(*seq);
            w.text(to);
        }
        Kind::Ack(seq) | Kind::Nack(seq) => w.u32(*seq),
        Kind::PingReq(seq, to, at) => {
            w.u32(*seq);
            w.text(to);
            w.address(*at);
        }
        Kind::Gossip => {}
        Kind::Digest(digest, count, answered) => {
            w.u64(*digest);
            w.u32(*count);
            w.0.push(u8::from(*answered));
        }
        Kind::Query(from) => w.u32(*from),
        Kind::View(from, of) => {
            w.u32(*from);
            w.u32(*of);
        }
    }
    let place = w.0.len();
    w.0.push(0);
    let mut written = 0;
    for update in message.updates.iter().take(255) {
        let before = w.0.len();
        w.update(update);
        if w.0.len() + 4 > MOST_DATAGRAM {
            w.0.truncate(before);
            break;
        }
        written += 1;
    }
    w.0[place] = written as u8;
    if matches!(message.kind, Kind::Query(_)) {
        w.0.resize(MOST_DATAGRAM - 4, 0);
    }
    let crc = crc32fast::hash(&w.0);
    w.u32(crc);
    (w.0, message.updates.len() - written)
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize, field: &'static str) -> Result<&'a [u8], Malformed> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(Malformed::Field(field))?;
        self.0 = rest;
        Ok(head)
    }
    fn u8(&mut self, field: &'static str) -> Result<u8, Malformed> {
        Ok(self.take(1, field)?[0])
    }
    fn u32(&mut self, field: &'static str) -> Result<u32, Malformed> {
        let b = self.take(4, field)?;
        Ok(u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
    fn u64(&mut self, field: &'static str) -> Result<u64, Malformed> {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(self.take(8, field)?);
        Ok(u64::from_be_bytes(bytes))
    }
    fn text(&mut self, field: &'static str) -> Result<String, Malformed> {
        let n = usize::from(self.u8(field)?);
        if n > MOST_NAME {
            return Err(Malformed::Field(field));
        }
        let text = std::str::from_utf8(self.take(n, field)?).map_err(|_| Malformed::Field(field))?;
        // Names go to logs and tables: nothing that would break a line.
        let plain = text.chars().all(|c| !c.is_control());
        plain.then(|| text.to_owned()).ok_or(Malformed::Field(field))
    }
    fn name(&mut self, field: &'static str) -> Result<String, Malformed> {
        self.text(field).and_then(|t| if t.is_empty() { Err(Malformed::Field(field)) } else { Ok(t) })
    }
    fn address(&mut self, field: &'static str) -> Result<SocketAddr, Malformed> {
        let b = self.take(6, field)?;
        let port = u16::from_be_bytes([b[4], b[5]]);
        Ok(SocketAddr::from(([b[0], b[1], b[2], b[3]], port)))
    }
    fn update(&mut self) -> Result<Update, Malformed> {
        let state = match self.u8("state")? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Dead,
            3 => State::Left,
            4 => return self.facts(),
            _ => return Err(Malformed::Field("state")),
        };
        let member = Member {
            state,
            name: self.name("member")?,
            life: self.u64("life")?,
            incarnation: self.u32("incarnation")?,
            address: self.address("address")?,
            zone: self.text("zone")?,
            region: self.text("region")?,
        };
        Ok(Update::Member(member, self.text("by")?))
    }
    fn facts(&mut self) -> Result<Update, Malformed> {
        let (name, life) = (self.name("member")?, self.u64("life")?);
        let mut f = Facts {
            version: self.u32("version")?,
            taken: self.u32("taken")?,
            spent: self.u32("spent")?,
            ..Facts::default()
        };
        let count = |r: &mut Self, field| match usize::from(r.u8(field)?) {
            n if n <= MOST_ENGINES => Ok(n),
            _ => Err(Malformed::Field(field)),
        };
        for _ in 0..count(self, "unreachable")? {
            f.unreachable.push(self.u64("unreachable")?);
        }
        for _ in 0..count(self, "cold")? {
            f.cold.push((self.u64("cold")?, self.u32("cold")?));
        }
        Ok(Update::Facts(name, life, f))
    }
}

/// Reads a datagram.
///
/// # Errors
/// What it is not; nothing of it is to be used then.
pub fn read(datagram: &[u8]) -> Result<Message, Malformed> {
    if datagram.len() > MOST_DATAGRAM
        || datagram.len() < 8
        || datagram[..2] != MAGIC
        || datagram[2] != VERSION
    {
        return Err(Malformed::Foreign);
    }
    let (body, crc) = datagram.split_at(datagram.len() - 4);
    if crc32fast::hash(body).to_be_bytes() != crc {
        return Err(Malformed::Spoilt);
    }
    let mut r = Reader(&body[3..]);
    let kind = r.u8("kind")?;
    let from = (r.name("from")?, r.u64("life")?, r.address("address")?);
    let kind = match kind {
        0 => Kind::Ping(r.u32("seq")?, r.name("to")?),
        1 => Kind::Ack(r.u32("seq")?),
        2 => Kind::PingReq(r.u32("seq")?, r.name("to")?, r.address("at")?),
        3 => Kind::Nack(r.u32("seq")?),
        4 => Kind::Gossip,
        5 => Kind::Digest(r.u64("digest")?, r.u32("count")?, r.u8("answered")? != 0),
        6 if datagram.len() == MOST_DATAGRAM => Kind::Query(r.u32("place")?),
        7 => Kind::View(r.u32("place")?, r.u32("of")?),
        _ => return Err(Malformed::Field("kind")),
    };
    let n = r.u8("updates")?;
    let updates = (0..n).map(|_| r.update()).collect::<Result<Vec<_>, _>>()?;
    if !r.0.is_empty() && !matches!(kind, Kind::Query(_)) {
        return Err(Malformed::Field("end"));
    }
    Ok(Message { from, kind, updates })
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Arbitrary, Gen, QuickCheck};

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn any_name(g: &mut Gen) -> String {
        format!("n{}", u8::arbitrary(g))
    }

    fn any_update(g: &mut Gen) -> Update {
        if bool::arbitrary(g) {
            let state = *g.choose(&[State::Alive, State::Suspect, State::Dead, State::Left]).expect("one");
            let (life, incarnation) = (u64::arbitrary(g), u32::arbitrary(g));
            let (zone, region) = (any_name(g), String::new());
            let address = at(u16::arbitrary(g));
            Update::Member(
                Member { name: any_name(g), life, incarnation, state, address, zone, region },
                any_name(g),
            )
        } else {
            let mut f = Facts { version: u32::arbitrary(g), taken: 1, spent: 2, ..Facts::default() };
            f.unreachable = (0..u8::arbitrary(g) % 16).map(|_| u64::arbitrary(g)).collect();
            f.cold = (0..u8::arbitrary(g) % 16).map(|_| (u64::arbitrary(g), u32::arbitrary(g))).collect();
            Update::Facts(any_name(g), u64::arbitrary(g), f)
        }
    }

    #[derive(Clone, Debug)]
    struct Any(Message);

    impl Arbitrary for Any {
        fn arbitrary(g: &mut Gen) -> Any {
            let n = u32::arbitrary(g);
            let kind = match n % 8 {
                0 => Kind::Ping(n, any_name(g)),
                1 => Kind::Ack(n),
                2 => Kind::PingReq(n, any_name(g), at(7)),
                3 => Kind::Nack(n),
                4 => Kind::Gossip,
                5 => Kind::Digest(u64::arbitrary(g), n, bool::arbitrary(g)),
                6 => Kind::Query(n),
                _ => Kind::View(n, n),
            };
            let updates = (0..u8::arbitrary(g) % 6).map(|_| any_update(g)).collect();
            Any(Message { from: (any_name(g), u64::arbitrary(g), at(9)), kind, updates })
        }
    }

    #[test]
    fn what_is_written_is_read_again() {
        fn holds(m: Any) -> bool {
            let (bytes, left) = write(&m.0);
            let mut cut = m.0.clone();
            cut.updates.truncate(cut.updates.len() - left);
            bytes.len() <= MOST_DATAGRAM && read(&bytes) == Ok(cut)
        }
        QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(40, 3)).quickcheck(holds as fn(Any) -> bool);
    }

    /// Guards against hostile datagrams: any bytes, and any true message with some bytes changed and the checksum
    /// made to fit, are read or refused, never a panic, never more than a datagram can hold.
    #[test]
    fn hostile_datagrams_are_read_within_bounds_or_refused() {
        fn holds(m: Any, changes: Vec<(usize, u8)>, cut: usize, noise: Vec<u8>) -> bool {
            let _ = read(&noise);
            let (mut bytes, _) = write(&m.0);
            bytes.truncate(bytes.len() - 4);
            for (place, value) in changes {
                let n = bytes.len();
                bytes[place % n] = value;
            }
            bytes.truncate(bytes.len().saturating_sub(cut % 40));
            let crc = crc32fast::hash(&bytes);
            bytes.extend_from_slice(&crc.to_be_bytes());
            match read(&bytes) {
                Ok(m) => m.updates.len() <= 255 && m.from.0.len() <= MOST_NAME,
                Err(_) => true,
            }
        }
        QuickCheck::new()
            .tests(3_000)
            .rng(Gen::from_size_and_seed(60, 4))
            .quickcheck(holds as fn(Any, Vec<(usize, u8)>, usize, Vec<u8>) -> bool);
    }

    #[test]
    fn a_changed_byte_is_seen_and_a_question_is_as_long_as_any_answer() {
        let from = ("n1".to_owned(), 5, at(9));
        let (bytes, _) = write(&Message { from: from.clone(), kind: Kind::Ack(1), updates: Vec::new() });
        for i in 3..bytes.len() {
            let mut bad = bytes.clone();
            bad[i] ^= 0x10;
            assert_eq!(read(&bad), Err(Malformed::Spoilt), "byte {i}");
        }
        let (query, _) = write(&Message { from, kind: Kind::Query(0), updates: Vec::new() });
        assert_eq!(query.len(), MOST_DATAGRAM);
        assert!(read(&query).is_ok());
    }

    #[test]
    fn updates_that_do_not_fit_are_counted() {
        let m = Member {
            name: "n".repeat(32),
            life: 1,
            incarnation: 1,
            state: State::Alive,
            address: at(1),
            zone: "z".repeat(32),
            region: "r".repeat(32),
        };
        let updates = vec![Update::Member(m, "b".repeat(32)); 40];
        let each = size(&updates[0]);
        let (bytes, left) = write(&Message { from: ("a".into(), 1, at(1)), kind: Kind::Gossip, updates });
        assert!(left > 0 && bytes.len() + each > MOST_DATAGRAM && bytes.len() <= MOST_DATAGRAM);
    }
}
