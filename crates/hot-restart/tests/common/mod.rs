//! Processes of one manager in virtual time, over one folder: starts, kills, SIGTERM at the newcomer's yes, calls by
//! the operator, processes that stand still, writes and reads that fail. What must hold is checked every 10 ms.

use sprucelink_cordon::{Cause, CordonLimits, CordonRequest, CordonState, Target};
use sprucelink_hot_restart::*;

pub const MS: i64 = 1_000;
const TICK: i64 = 10 * MS;
pub const ENGINES: [&str; 3] = ["s-1", "s-2", "s-3"];
const SPANS: Spans =
    Spans { ration: TimeDelta::from_micros(5_000 * MS), cold: TimeDelta::from_micros(2_000 * MS) };

#[derive(Clone, Debug)]
pub enum Event {
    /// A newcomer that can serve after so many ms.
    Start(u16),
    Kill(u8),
    /// At which process, on which engine, out or back.
    Call(u8, u8, bool),
    /// A process gets no core for so many ms.
    Freeze(u8, u16),
    Fail(u8, Fault),
}

struct Proc {
    keeper: Keeper<FaultyFolder>,
    folder: FaultyFolder,
    outages: CordonState,
    born: i64,
    serves_at: i64,
    term_at: Option<i64>,
    frozen_until: i64,
    /// When it last stood still or had faults before it.
    troubled: i64,
    dead: bool,
}

impl Proc {
    fn content(&self) -> Content {
        Content {
            bans: self.outages.export_records(),
            ids: self.outages.export_known_ids(usize::MAX),
            ..Content::default()
        }
    }

    fn take(&mut self, now: Timestamp, looked: Looked) {
        for read in looked.read {
            let adopted = adopt(now, SPANS, read);
            self.outages.merge_known_ids(&adopted.ids);
            self.outages.merge_records(now, &adopted.bans);
        }
    }

    /// Looks, steps and writes; `false`: the writer died over it.
    fn act(&mut self, now: i64) -> bool {
        let t = Timestamp::from_micros(now);
        let looked = self.keeper.look(t);
        self.take(t, looked);
        self.keeper.step(t, self.term_at.is_some_and(|at| at <= now), now >= self.serves_at);
        !self.keeper.due(t) || self.write(t) != Some(false)
    }

    /// Whether it was written; `None`: it failed and the process lives.
    fn write(&mut self, t: Timestamp) -> Option<bool> {
        match self.keeper.write(t, self.content()) {
            Ok(_) => Some(true),
            Err(WriteFailed::Folder(e)) if e.kind() == std::io::ErrorKind::Interrupted => Some(false),
            Err(_) => None,
        }
    }
}

/// What the operator was last told of an engine, and when.
type Promise = Option<(i64, bool)>;

pub struct World {
    pub now: i64,
    pub folder: FaultyFolder,
    procs: Vec<Proc>,
    promises: [Promise; 3],
    /// Whether processes stood still or writes failed: then parts may pass 1 for a while.
    pub hostile: bool,
    dark_since: Option<i64>,
    pub calls: usize,
    pub yeses: usize,
}

impl World {
    pub fn new() -> World {
        let mut world = World {
            now: 1_700_000_000_000 * MS,
            folder: FaultyFolder::new(),
            procs: Vec::new(),
            promises: [None; 3],
            hostile: false,
            dark_since: None,
            calls: 0,
            yeses: 0,
        };
        world.start(0);
        world
    }

    fn start(&mut self, after: u16) {
        let folder = self.folder.handle();
        let me = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
        // The same pid for all: each is the first process of its machine.
        let (keeper, looked) = Keeper::open(folder.clone(), me, "test", 7, Timestamp::from_micros(self.now));
        let mut proc = Proc {
            keeper,
            folder,
            outages: CordonState::new(CordonLimits::default()),
            born: self.now,
            serves_at: self.now + i64::from(after) * MS,
            term_at: None,
            frozen_until: 0,
            troubled: 0,
            dead: false,
        };
        ENGINES.iter().for_each(|id| proc.outages.note_listed(id));
        proc.take(Timestamp::from_micros(self.now), looked);
        self.procs.push(proc);
    }

    pub fn living(&self) -> usize {
        self.procs.iter().filter(|p| !p.dead).count()
    }

    fn pick(&mut self, n: u8) -> Option<&mut Proc> {
        let mut living: Vec<&mut Proc> = self.procs.iter_mut().filter(|p| !p.dead).collect();
        let at = usize::from(n) % living.len().max(1);
        (at < living.len()).then(|| living.swap_remove(at))
    }

    pub fn event(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::Start(after) if self.living() < 3 => {
                // Never two within one microsecond: they would have one name.
                self.run(10);
                self.start(*after);
            }
            Event::Start(_) => {}
            Event::Kill(n) => self.pick(*n).into_iter().for_each(|p| p.dead = true),
            Event::Freeze(n, ms) => {
                self.hostile = true;
                self.pick(*n).into_iter().for_each(|p| {
                    p.frozen_until = now + i64::from(*ms) * MS;
                    p.troubled = p.frozen_until;
                });
            }
            Event::Fail(n, fault) => {
                self.hostile = true;
                self.pick(*n).into_iter().for_each(|p| p.folder.fail_next(fault.clone()));
            }
            Event::Call(n, engine, out) => self.call(*n, usize::from(*engine), *out),
        }
    }

    fn call(&mut self, n: u8, engine: usize, out: bool) {
        // No two calls within one microsecond.
        let now = self.now + self.calls as i64;
        let Some(p) = self.pick(n).filter(|p| p.frozen_until <= now) else { return };
        let target = Target::Engine(ENGINES[engine].into());
        if out {
            p.outages
                .cordon(Timestamp::from_micros(now), &target, CordonRequest::Operator, "")
                .expect("listed");
        } else {
            p.outages.uncordon(Timestamp::from_micros(now), &target, Cause::Operator).expect("listed");
        }
        match p.write(Timestamp::from_micros(now)) {
            Some(true) => self.promises[engine] = Some((now, out)),
            // It died before its yes: what was promised before still holds.
            Some(false) => p.dead = true,
            // No yes was given, and which it is nobody knows until the next.
            None => self.promises[engine] = None,
        }
        self.calls += 1;
    }

    pub fn run(&mut self, ms: i64) {
        for _ in 0..ms * MS / TICK {
            self.now += TICK;
            self.tick();
            self.check();
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let mut new_yes = None;
        for p in self.procs.iter_mut().filter(|p| !p.dead && p.frozen_until <= now) {
            // SIGTERM is seen at once; all else in step with the looks.
            let termed = p.term_at == Some(now);
            if !termed && (now - p.born) % LOOK.as_micros() != 0 && p.frozen_until != now {
                continue;
            }
            let said = p.keeper.says_yes();
            if p.folder.pending() > 0 {
                p.troubled = now;
            }
            p.dead = !p.act(now);
            if p.keeper.says_yes() && !said && !p.dead {
                new_yes = Some(p.born);
            }
            // SIGKILL comes 5.7 s after SIGTERM; half of all processes end in order before.
            if let Some(at) = p.term_at.filter(|at| now - at > 2_500 * MS) {
                if p.born / TICK % 2 == 0 {
                    let content = p.content();
                    p.dead =
                        p.keeper.leave(Timestamp::from_micros(now), content).is_ok() || now - at > 5_700 * MS;
                } else {
                    p.dead = now - at > 5_700 * MS;
                }
            }
        }
        if let Some(born) = new_yes {
            self.yeses += 1;
            // SIGTERM reaches all elders some time after the newcomer's yes.
            for p in self.procs.iter_mut().filter(|p| p.born < born && p.term_at.is_none()) {
                p.term_at = Some(now + (born / TICK % 12) * TICK);
            }
        }
    }

    fn check(&mut self) {
        let now = self.now;
        let awake = |p: &&Proc| !p.dead && p.frozen_until <= now;
        let settled = LOOK.as_micros() + 2 * TICK;
        for p in self.procs.iter().filter(awake).filter(|p| now - p.troubled > settled) {
            for (id, promise) in ENGINES.iter().zip(&self.promises) {
                let Some((at, out)) = promise.filter(|(at, _)| now - at > settled) else { continue };
                assert_eq!(p.outages.is_engine_cordoned(id), out, "{id} told {} ms ago", (now - at) / MS);
            }
            let waits = now - p.serves_at.max(p.born).max(p.troubled);
            if p.term_at.is_none() && waits > ROOM_WAIT.as_micros() + settled {
                assert!(p.keeper.says_yes(), "a newcomer is held up");
            }
        }
        let living = || self.procs.iter().filter(|p| !p.dead);
        let spends = |p: &&Proc| p.keeper.stand().yes;
        let spent: f64 = living().filter(spends).map(|p| 1.0 / f64::from(p.keeper.stand().parts)).sum();
        assert!(self.hostile || spent < 1.0 + 1e-9, "{spent} of the budgets spent");
        // Somebody must take connections as long as there is anybody that is to go on serving.
        let able = living().filter(awake).any(|p| p.keeper.stand().yes && p.term_at.is_none());
        let open = living().filter(awake).any(|p| p.keeper.stand().accepts);
        if open || !able {
            self.dark_since = None;
        }
        let since = *self.dark_since.get_or_insert(now);
        assert!(
            now - since <= DEAD_AFTER.as_micros() + 2 * settled,
            "nobody accepts for {} ms",
            (now - since) / MS
        );
    }
}
