//! The acting half: one process's file, and its look at the others'.

use crate::book::{Book, Other, FILES_MOST};
use crate::codec::{decode, encode, Refusal, FILE_MOST};
use crate::content::{Content, Handover, Instance, Phase, Process};
use crate::folder::Folder;
use crate::names::FileName;
use crate::phases::{Stand, Upgrade};
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::{fmt, io};

/// The others' files are looked at so often: a ban that the other process said yes to binds here within the drain's
/// grace of 500 ms, with room for a look that comes late.
pub const LOOK: TimeDelta = TimeDelta::from_micros(100_000);
/// The own file is written so often, and at once with each ban and each change of the phase.
pub const REFRESH: TimeDelta = TimeDelta::from_micros(250_000);

/// Bytes that tell one version of a file from the next: its head, with the checksum.
type Head = [u8; 16];

/// What a look at the folder found.
#[derive(Debug, Default)]
pub struct Looked {
    /// Files that are new or have changed: to be adopted, all of them, before the own file is written next.
    pub read: Vec<Handover>,
    /// Files that are new or have changed and will not do, by name.
    pub refused: Vec<(String, Refusal)>,
    /// What went wrong with the folder; the files not read stay as they were known.
    pub trouble: Vec<io::Error>,
    /// Files of this manager beyond [`FILES_MOST`], which were not looked at.
    pub left_alone: usize,
}

/// What a write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// Bytes of the file.
    pub bytes: usize,
    /// Hashes of ids that found no room.
    pub ids_left_out: usize,
    /// Files of dead processes that were removed after it.
    pub removed: usize,
}

/// Why the own file was not written; the one before is there unchanged.
#[derive(Debug)]
pub enum WriteFailed {
    /// The content does not fit: more bans than [`sprucelink_cordon::CordonLimits`] lets in.
    TooLarge(Refusal),
    /// The folder refused it.
    Folder(io::Error),
}

impl fmt::Display for WriteFailed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteFailed::TooLarge(refusal) => refusal.fmt(f),
            WriteFailed::Folder(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for WriteFailed {}

/// One process's side of the handover. The order of calls, every [`LOOK`] and at SIGTERM: [`Keeper::look`], adopt all
/// that was read, [`Keeper::step`], and [`Keeper::write`] where it is [`Keeper::due`]. With a ban that an operator
/// waits for: [`Keeper::write`] at once.
#[derive(Debug)]
pub struct Keeper<F> {
    folder: F,
    instance: Instance,
    process: Process,
    build: String,
    name: String,
    book: Book,
    upgrade: Upgrade,
    stand: Stand,
    /// Of each file what it was at the last look, and whether it would do.
    heads: BTreeMap<String, (Head, bool)>,
    /// The last attempt to write: when, and the phase and room that it told.
    tried: Option<(Timestamp, Phase, Vec<Process>)>,
    /// Whether a file that said that this process serves was written, or could not be.
    told: bool,
    seq: u64,
}

impl<F: Folder> Keeper<F> {
    /// A process that starts now, with a first look at the folder: what it found there is to be adopted.
    pub fn open(folder: F, instance: Instance, build: &str, pid: u32, now: Timestamp) -> (Keeper<F>, Looked) {
        let process = Process { generation: 1, started: now, pid };
        let mut upgrade = Upgrade::new(process, now);
        let mut keeper = Keeper {
            folder,
            process,
            build: build.to_owned(),
            name: FileName::of(&instance, &process).to_string(),
            instance,
            book: Book::default(),
            stand: upgrade.step(now, &[], false, false),
            upgrade,
            heads: BTreeMap::new(),
            tried: None,
            told: false,
            seq: 0,
        };
        let looked = keeper.look(now);
        keeper.process.generation = keeper.book.generation().saturating_add(1);
        keeper.upgrade = Upgrade::new(keeper.process, now);
        (keeper, looked)
    }

    /// This process.
    pub fn process(&self) -> Process {
        self.process
    }

    /// Where this process stood at the last step.
    pub fn stand(&self) -> &Stand {
        &self.stand
    }

    /// The other processes of this manager that live, as of the last look.
    pub fn living(&self, now: Timestamp) -> Vec<Other> {
        self.book.living(now)
    }

    /// Whether a health check is to be answered with yes: it serves, and its file says so, or could not be written.
    /// SIGTERM reaches the elder with that answer, and the elder must then be able to read that it was relieved.
    pub fn says_yes(&self) -> bool {
        self.stand.yes && self.told
    }

    /// Reads the others' files.
    pub fn look(&mut self, now: Timestamp) -> Looked {
        let mut looked = Looked::default();
        let names = match self.folder.list() {
            Ok(names) => names,
            Err(e) => {
                looked.trouble.push(e);
                return looked;
            }
        };
        let mine = FileName::of(&self.instance, &self.process).instance;
        let named = |name: String| FileName::parse(&name).map(|parsed| (parsed, name));
        let own = [self.name.clone(), FileName::temp_of(&self.name)];
        let ours = names.into_iter().filter(|name| !own.contains(name)).filter_map(named);
        let mut ours: Vec<(FileName, String)> = ours.filter(|(parsed, _)| parsed.instance == mine).collect();
        // The youngest first, whole files before temporary ones.
        ours.sort_unstable_by_key(|(parsed, _)| {
            (parsed.temp, std::cmp::Reverse((parsed.started, parsed.pid)))
        });
        looked.left_alone = ours.len().saturating_sub(FILES_MOST);
        ours.truncate(FILES_MOST);
        let mut there = BTreeSet::new();
        for (parsed, name) in ours {
            if parsed.temp {
                self.book.temp(now, &name);
            } else if let Err(e) = self.look_at(now, parsed, &name, &mut looked) {
                if e.kind() == io::ErrorKind::NotFound {
                    // Its successor removed it since the listing.
                    continue;
                }
                looked.trouble.push(e);
            }
            there.insert(name);
        }
        self.book.listed(&there);
        self.heads.retain(|name, _| there.contains(name));
        looked
    }

    fn look_at(
        &mut self,
        now: Timestamp,
        parsed: FileName,
        name: &str,
        looked: &mut Looked,
    ) -> io::Result<()> {
        let bytes = self.folder.read(name, FILE_MOST)?;
        let mut head = Head::default();
        head.iter_mut().zip(&bytes).for_each(|(to, from)| *to = *from);
        let known = self.heads.get(name).filter(|(before, _)| *before == head).map(|(_, good)| *good);
        if known == Some(true) {
            // Nothing new: not decoded again, for a file of many ids takes its time.
            return Ok(());
        }
        let read = decode(&bytes, &self.instance).and_then(|h| {
            if (h.process.pid, h.process.started) == (parsed.pid, parsed.started) {
                Ok(h)
            } else {
                // Guards against a copy laid under another name: it would live on beside its original.
                Err(Refusal::Invalid("process: not the one that the file is named after".into()))
            }
        });
        self.heads.insert(name.to_owned(), (head, read.is_ok()));
        match read {
            // Told once, not with every look.
            Err(_) if known == Some(false) => {}
            read => {
                self.book.read(now, name, &read);
                match read {
                    Ok(handover) => looked.read.push(handover),
                    Err(refusal) => looked.refused.push((name.to_owned(), refusal)),
                }
            }
        }
        Ok(())
    }

    /// Goes on to where the files, SIGTERM and this process's own state have it.
    pub fn step(&mut self, now: Timestamp, term: bool, can_serve: bool) -> &Stand {
        self.stand = self.upgrade.step(now, &self.living(now), term, can_serve);
        &self.stand
    }

    /// Whether the own file is to be written: its time has come, or something in it has changed that the other process
    /// waits for. A write that failed is tried again in its time.
    pub fn due(&self, now: Timestamp) -> bool {
        let told = |phase, room: &[Process]| phase == self.stand.phase && room == self.stand.room_for;
        match &self.tried {
            None => true,
            Some((at, phase, room)) => !told(*phase, room) || now - *at >= REFRESH || now < *at,
        }
    }

    /// Writes the own file, and then removes what dead processes left. What an operator waits for is on record once
    /// this is `Ok`; otherwise it holds in this process alone, and the caller says so or takes it back.
    pub fn write(&mut self, now: Timestamp, content: Content) -> Result<Written, WriteFailed> {
        let Stand { phase, since, room_for, yes, .. } = self.stand.clone();
        self.tried = Some((now, phase, room_for.clone()));
        self.told |= yes;
        self.seq += 1;
        let handover = Handover {
            instance: self.instance.clone(),
            process: self.process,
            build: self.build.clone(),
            written_at: now,
            seq: self.seq,
            phase,
            phase_since: since,
            room_for,
            content,
        };
        let encoded = encode(&handover).map_err(WriteFailed::TooLarge)?;
        self.folder.replace(&self.name, &encoded.bytes).map_err(WriteFailed::Folder)?;
        self.book.wrote();
        let old = self.book.removable(now);
        let removed = old.iter().filter(|name| self.folder.remove(name).is_ok()).count();
        Ok(Written { bytes: encoded.bytes.len(), ids_left_out: encoded.ids_left_out, removed })
    }

    /// The last word of a process that ends: the file stays for whoever comes next, and says that nobody writes it
    /// any more. Whoever adopts it removes it.
    pub fn leave(&mut self, now: Timestamp, content: Content) -> Result<Written, WriteFailed> {
        self.upgrade.gone(now);
        (self.stand.phase, self.stand.since, self.stand.accepts) = (Phase::Gone, now, false);
        self.write(now, content)
    }
}
