//! The engines' wire: RESP arrays of bulk strings.

use super::Malformed;

/// Bulk strings that an engine's answer may hold: `ID WORD FIELDS BODY`, and a few more to skip.
const MOST_PARTS: usize = 8;
/// Digits of a length: no legal one comes near.
const MOST_DIGITS: usize = 7;

/// Appends one array of bulk strings.
pub fn write_command(out: &mut Vec<u8>, parts: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}

/// Reads one array from the front of `bytes`: its parts and how many bytes it took; `None` if
/// more bytes are wanted. An array longer than `limit` bytes is malformed.
#[allow(clippy::type_complexity)]
pub fn read_array(bytes: &[u8], limit: usize) -> Result<Option<(Vec<&[u8]>, usize)>, Malformed> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else { return Ok(None) };
    if count == 0 || count > MOST_PARTS {
        return Err(Malformed::field("array", "has no legal number of parts"));
    }
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((len, start)) = number(bytes, at, b'$')? else { return Ok(None) };
        let end = start.saturating_add(len);
        if end.saturating_add(2) > limit {
            return Err(Malformed::field("bulk", "is longer than allowed"));
        }
        match bytes.get(end..end + 2) {
            Some(b"\r\n") => {}
            Some(_) => return Err(Malformed::field("bulk", "does not end with a line break")),
            None => return Ok(None),
        }
        parts.push(&bytes[start..end]);
        at = end + 2;
    }
    Ok(Some((parts, at)))
}

/// A mark, digits and a line break at `at`: the number and where the next thing begins.
fn number(bytes: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, Malformed> {
    let Some(rest) = bytes.get(at..).filter(|r| !r.is_empty()) else { return Ok(None) };
    if rest[0] != mark {
        return Err(Malformed::field("length", "does not begin with its mark"));
    }
    let digits = rest[1..].iter().take_while(|b| b.is_ascii_digit()).count();
    if digits > MOST_DIGITS {
        return Err(Malformed::field("length", "is too long"));
    }
    match (rest.get(1 + digits), rest.get(2 + digits)) {
        (None, _) => Ok(None),
        (Some(b'\r'), None) if digits > 0 => Ok(None),
        (Some(b'\r'), Some(b'\n')) if digits > 0 => {
            let n = rest[1..=digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
            Ok(Some((n, at + 3 + digits)))
        }
        _ => Err(Malformed::field("length", "is not a number")),
    }
}

/// What an engine says of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// Ok: page 0 is the body; the number of all pages.
    Served {
        /// All pages, page 0 among them.
        pages: usize,
    },
    /// Full: it never ran.
    Overload,
    /// An error: it may have run.
    Crashed,
    /// The request was over already: it never ran.
    Nobody,
    /// Not yet over; perhaps with a note.
    Update {
        /// What the note is about.
        how: Option<How>,
        /// Its figure.
        num: f64,
    },
    /// A further page and its number.
    Rows {
        /// The page's number, from 1.
        page: usize,
    },
    /// The answer to `ping`.
    Green,
    /// A word that is not known here.
    Other,
}

/// What a note is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// The share done.
    SoFar,
    /// Megabytes missing.
    Lacking,
    /// What it waits for: 1 memory, 2 a load.
    Waiting,
}

/// The load report that came with an answer, as the engine words it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stats {
    /// Queries in hand.
    pub inflight: Option<f64>,
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Share of the memory granted.
    pub x0: Option<f64>,
    /// Share of the disks in use.
    pub x1: Option<f64>,
}

/// One answer of an engine.
#[derive(Clone, Debug)]
pub struct Answer<'a> {
    /// The request's id, as it was sent.
    pub id: &'a [u8],
    /// What is said.
    pub word: Word,
    /// The load report.
    pub stats: Stats,
    /// Work in milliseconds and memory in MB that the query needed.
    pub bill: Option<(f64, f64)>,
    /// A page, or nothing.
    pub body: &'a [u8],
}

/// Columns of a row.
pub const COLUMNS: usize = 3;
/// Pages of a result: 48,000 bytes in whole rows come nowhere near.
const MOST_PAGES: usize = 64;

fn num(name: &str, text: &str) -> Result<f64, Malformed> {
    let v = text.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
    v.ok_or_else(|| Malformed::field(name, "is not a number of 0 or more"))
}

fn page_number(name: &str, text: &str) -> Result<usize, Malformed> {
    let n = text.parse::<usize>().ok().filter(|n| (1..=MOST_PAGES).contains(n));
    n.ok_or_else(|| Malformed::field(name, "is no number of a page"))
}

/// Names and values parted by `between` and `mark`; what has no mark is no field.
fn named(text: &str, between: char, mark: char) -> impl Iterator<Item = Result<(&str, &str), Malformed>> {
    let parts = text.split(between).filter(move |_| text != "-" && !text.is_empty());
    parts.map(move |p| {
        p.split_once(mark).ok_or_else(|| Malformed::field("fields", "hold one without a value"))
    })
}

fn read_stats(text: &str) -> Result<Stats, Malformed> {
    let mut s = Stats::default();
    for part in named(text, ';', ':') {
        let (name, value) = part?;
        let place = match name {
            "inflight" | "rif" => &mut s.inflight,
            "queue" | "q" => &mut s.queue,
            "util" | "busy" => &mut s.util,
            "x0" => &mut s.x0,
            "x1" => &mut s.x1,
            _ => continue,
        };
        *place = Some(num("stats", value)?);
    }
    Ok(s)
}

/// Whether a page's body is text in whole rows of three columns, as the engines' wire promises.
pub fn is_page(body: &[u8]) -> bool {
    let columns = |row: &[u8]| row.iter().filter(|b| **b == b'\t').count() + 1;
    let whole = body.split_inclusive(|b| *b == b'\n').all(|r| r.ends_with(b"\n") && columns(r) == COLUMNS);
    whole && !body.contains(&0) && std::str::from_utf8(body).is_ok()
}

/// Understands the parts of an array as an engine's answer. Unknown fields are skipped; a known one that
/// cannot be read spoils the whole answer. Guards against half a result that passes for a whole one.
pub fn read_answer<'a>(parts: &[&'a [u8]]) -> Result<Answer<'a>, Malformed> {
    let [id, word, rest @ ..] = parts else { return Err(Malformed::field("word", "is missing")) };
    let fields = std::str::from_utf8(rest.first().copied().unwrap_or(b"-"))
        .map_err(|_| Malformed::field("fields", "are not text"))?;
    let body = rest.get(1).copied().unwrap_or(b"");
    let (mut pages, mut page, mut how, mut value) = (None, None, None, 0.0);
    let (mut stats, mut cpu, mut used) = (Stats::default(), None, None);
    for part in named(fields, ',', '=') {
        let (name, text) = part?;
        match name {
            "batches" => pages = Some(page_number(name, text)?),
            "batch" => page = Some(page_number(name, text)?),
            "stats" => stats = read_stats(text)?,
            "cpu" => cpu = Some(num(name, text)?),
            "used" => used = Some(num(name, text)?),
            "num" => value = num(name, text)?,
            "how" => {
                how = match text {
                    "so_far" => Some(How::SoFar),
                    "lacking" => Some(How::Lacking),
                    "waiting" => Some(How::Waiting),
                    _ => None,
                }
            }
            _ => {}
        }
    }
    let word = match *word {
        b"served" => Word::Served { pages: pages.ok_or_else(|| Malformed::field("batches", "is missing"))? },
        b"overload" => Word::Overload,
        b"crashed" => Word::Crashed,
        b"nobody" => Word::Nobody,
        b"update" => Word::Update { how, num: value },
        b"rows" => Word::Rows { page: page.ok_or_else(|| Malformed::field("batch", "is missing"))? },
        b"green" => Word::Green,
        _ => Word::Other,
    };
    Ok(Answer { id, word, stats, bill: cpu.map(|c| (c, used.unwrap_or(0.0))), body })
}
