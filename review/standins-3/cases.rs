//! The cases. Each returns whether its rule held.

use crate::kit::*;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn run(case: &str, record: &Record, has_trouble: bool) -> Outcome<bool> {
    match case {
        "slow-feed" => slow_feed(record, has_trouble),
        "pipeline" => pipeline(record, has_trouble),
        "id-at-upgrade" => id_at_upgrade(record, has_trouble),
        "id-in-pipeline" => id_in_pipeline(record, has_trouble),
        "cancel-in-pipeline" => cancel_in_pipeline(record, has_trouble),
        _ => Err(format!("there is no case {case}").into()),
    }
}

fn verdict(record: &Record, has_held: bool, text: &str) -> Outcome<bool> {
    record.say(format!("{}: {text}", if has_held { "held" } else { "BROKEN" }));
    Ok(has_held)
}

// ------------------------------------------------------------------------------------------------ slow-feed

/// The latest time at which what the control feed has to tell counts as told.
const TOLD: Duration = Duration::from_millis(7_000);
/// `drainGrace` of the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Every time limit is 50 ms longer on sockets; the rest is for threads of the stand-ins that run late.
const SLACK: Duration = Duration::from_millis(300);
/// Time that the feed needs to answer a call, while it stalls.
const STALL: Duration = Duration::from_millis(3_000);

fn short_work(class: &str, _row: &str) -> Duration {
    ms(if class == "ledger-load" { 600 } else { 30 })
}

fn slow_feed(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let (staying, leaving) = (Engine::start("a", record, short_work)?, Engine::start("b", record, short_work)?);
    let feed = Feed::start(record)?;
    let tmp = Folder::create()?;
    let port = free_port()?;
    let entries = vec![entry("s-a", &staying.address, "ready"), entry("s-b", &leaving.address, "ready")];
    let mut manager =
        Manager::start(&Site { entries, feed: feed.address.clone(), port, tmp: &tmp, listener: None, operator: None })?;
    wait_until_ready(port)?;
    thread::sleep(ms(1_500));
    let is_over: Arc<AtomicBool> = Arc::default();
    let answers: Arc<Mutex<Vec<(Instant, String, Answer)>>> = Arc::default();
    let clients: Vec<_> = ["lane-rate", "lane-rate", "lane-rate", "ledger-load", "ledger-load"]
        .into_iter()
        .map(|kind| {
            let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&answers));
            thread::spawn(move || ask_until(port, kind, &is_over, &answers))
        })
        .collect();
    thread::sleep(ms(1_000));
    if has_trouble {
        // During a release the control feed breaks off and stalls.
        feed.set_delay(STALL);
        feed.break_off();
        thread::sleep(ms(200));
    }
    let drained = Instant::now();
    feed.tell(2, event(2, false, &[entry("s-b", &leaving.address, "draining")]));
    thread::sleep(ms(12_000));
    record.line("engine b: its process ends");
    let ended = Instant::now();
    leaving.end();
    thread::sleep(ms(1_500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")??;
    }
    if manager.has_ended() {
        return verdict(record, false, "the workload manager ended");
    }
    let since = |arrival: &Arrival| arrival.at.duration_since(drained);
    let late: Vec<Arrival> = leaving.arrivals().into_iter().filter(|a| since(a) > TOLD + DRAIN_GRACE + SLACK).collect();
    let last = leaving.arrivals().iter().map(|a| since(a).as_secs_f64()).fold(f64::MIN, f64::max);
    let lost = answers.lock().unwrap().iter().filter(|(at, kind, answer)| {
        kind == "ledger-load" && *at > ended && *at < ended + ms(700) && matches!(answer, Answer::Failed(_))
    }).count();
    let served = answers.lock().unwrap().iter().filter(|(_, _, answer)| answer.is_served()).count();
    record.say(format!("{served} requests served; the last one sent to b came {last:.3} s after the feed told of its drain"));
    record.say(format!("{lost} ledger-loads (never to run twice) failed because b ended with them, 12 s after its drain"));
    let text = format!(
        "{} requests were sent to b later than 7 s (told at the latest) and 0.5 s (grace) after its drain was told",
        late.len()
    );
    verdict(record, late.is_empty(), &text)
}

fn ask_until(
    port: u16,
    kind: &str,
    is_over: &AtomicBool,
    answers: &Mutex<Vec<(Instant, String, Answer)>>,
) -> Result<(), Failure> {
    let mut client = Client::connect(port)?;
    while !is_over.load(Ordering::SeqCst) {
        let id = new_id();
        let (timeout, work) = if kind == "ledger-load" { (5_000, 600) } else { (1_500, 30) };
        let statement = format!("SELECT day FROM sales_17.orders WHERE tag = '{id}'");
        let answer = client.query(&request(&id, kind, timeout, work, &statement))?;
        answers.lock().unwrap().push((Instant::now(), kind.to_owned(), answer));
        thread::sleep(ms(20));
    }
    client.close();
    Ok(())
}

// ------------------------------------------------------------------------------------------------- one engine

/// One workload manager with one engine and a feed without news.
struct Small {
    engine: Engine,
    feed: Feed,
    tmp: Folder,
    port: u16,
}

impl Small {
    fn new(record: &Record, work: fn(&str, &str) -> Duration) -> Outcome<Small> {
        let engine = Engine::start("a", record, work)?;
        Ok(Small { engine, feed: Feed::start(record)?, tmp: Folder::create()?, port: free_port()? })
    }

    fn start(&self, listener: Option<&TcpListener>, operator: Option<String>) -> Outcome<Manager> {
        let entries = vec![entry("s-a", &self.engine.address, "ready")];
        let feed = self.feed.address.clone();
        Manager::start(&Site { entries, feed, port: self.port, tmp: &self.tmp, listener, operator })
    }
}

// -------------------------------------------------------------------------------------------------- pipeline

const COMMANDS: usize = 24;

fn quick_work(_class: &str, _row: &str) -> Duration {
    ms(20)
}

fn pipeline(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let small = Small::new(record, quick_work)?;
    let mut manager = small.start(None, None)?;
    wait_until_ready(small.port)?;
    // Reads of a tariff by its lanes: statements of 3.4 KB, 84 KB in all.
    let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
    let lanes: String = (0..260).map(|lane| format!("'lane-{lane:04}',")).collect();
    let texts: Vec<String> = ids
        .iter()
        .map(|id| {
            let statement = format!("SELECT lane, price, note FROM tariff_3.lanes WHERE lane IN ({lanes}'{id}')");
            request(id, "lane-rate", 6_000, 20, &statement)
        })
        .collect();
    let mut client = Client::connect(small.port)?;
    client.start()?;
    client.set_patience(ms(7_000))?;
    let mut answers = Vec::new();
    let mut end = "open".to_owned();
    if has_trouble {
        client.send_all(&texts)?;
        record.line(format!("client: sent {COMMANDS} requests behind one another, {} bytes", texts.concat().len() + 6 * COMMANDS));
    }
    for (id, text) in ids.iter().zip(&texts) {
        if !has_trouble {
            client.send(text)?;
        }
        match client.answer() {
            Ok(answer) => {
                record.line(format!("client: answer to {id}: {}", shown(&answer)));
                answers.push((id, answer));
            }
            Err(error) => {
                end = error.to_string();
                break;
            }
        }
    }
    if manager.has_ended() {
        return verdict(record, false, "the workload manager ended");
    }
    let is_own = |(id, answer): &(&String, Answer)| match answer {
        Answer::Served(rows) => rows.len() == 1 && rows[0][0] == **id,
        _ => true,
    };
    let served = answers.iter().filter(|(_, answer)| answer.is_served()).count();
    let text = format!(
        "{COMMANDS} requests taken, {} answered ({served} served), {} without an answer; connection: {end}",
        answers.len(),
        COMMANDS - answers.len()
    );
    verdict(record, answers.len() == COMMANDS && answers.iter().all(is_own), &text)
}

fn shown(answer: &Answer) -> String {
    match answer {
        Answer::Served(rows) => format!("served, {} rows", rows.len()),
        other => format!("{other:?}"),
    }
}

// -------------------------------------------------------------------------------------------- id-at-upgrade

fn report_work(class: &str, _row: &str) -> Duration {
    ms(if class == "lane-report" { 4_000 } else { 30 })
}

fn id_at_upgrade(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let mut small = Small::new(record, report_work)?;
    // On such days the platform holds the clients' listening socket.
    let listener = TcpListener::bind("127.0.0.1:0")?;
    small.port = listener.local_addr()?.port();
    let operators = [format!("127.0.0.1:{}", free_port()?), format!("127.0.0.1:{}", free_port()?)];
    let mut old = small.start(Some(&listener), Some(operators[0].clone()))?;
    wait_until_ready(small.port)?;
    let id = new_id();
    let mut usual = Client::connect(small.port)?;
    usual.start()?;
    usual.send(&request(&id, "lane-report", 20_000, 12_000, "SELECT day, count(*), 'own' FROM sales_17.orders"))?;
    record.line(format!("usual client: sent {id}"));
    thread::sleep(ms(300));
    let mut new = None;
    if has_trouble {
        new = Some(small.start(Some(&listener), Some(operators[1].clone()))?);
        let start = Instant::now();
        while !is_healthy(&operators[1]) {
            if start.elapsed() > ms(6_000) {
                return Err("the new process was not healthy within 6 s".into());
            }
            thread::sleep(ms(20));
        }
        record.line("operators: the new process says yes, SIGTERM to the old one");
        old.signal("TERM")?;
    }
    thread::sleep(ms(700));
    let mut bad = Client::connect(small.port)?;
    bad.set_patience(ms(3_000))?;
    let bad_answer = bad.query(&request(&id, "lane-rate", 1_500, 30, "SELECT day, price, 'other' FROM tariff_3.lanes"));
    record.line(format!("bad client: sent {id} with another statement: {bad_answer:?}"));
    let usual_answer = usual.answer();
    record.line(format!("usual client: {usual_answer:?}"));
    let has_crashed = match &mut new {
        Some(new) => new.has_ended(),
        None => old.has_ended(),
    };
    if has_crashed {
        return verdict(record, false, "the workload manager ended");
    }
    let runs: Vec<String> =
        small.engine.arrivals().iter().filter(|a| a.id == id).map(|a| a.statement.chars().take(40).collect()).collect();
    record.say(format!("usual client: {}; the engine got under this id: {runs:?}", usual_answer.map_or_else(|e| e.to_string(), |a| shown(&a))));
    let is_served = matches!(&bad_answer, Ok(answer) if answer.is_served());
    let text = format!("the id of an open request with another statement: {}", bad_answer.map_or_else(|e| e.to_string(), |a| shown(&a)));
    verdict(record, !is_served, &text)
}

// ------------------------------------------------------------------------------------------- id-in-pipeline

fn id_in_pipeline(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let small = Small::new(record, report_work)?;
    let mut manager = small.start(None, None)?;
    wait_until_ready(small.port)?;
    let ids = [new_id(), new_id()];
    let mut usual = Client::connect(small.port)?;
    usual.start()?;
    usual.send_all(&[
        request(&ids[0], "lane-report", 20_000, 12_000, "SELECT day, count(*), 'own' FROM sales_17.orders"),
        request(&ids[1], "lane-rate", 6_000, 30, "SELECT day, price, 'own' FROM tariff_3.lanes"),
    ])?;
    record.line(format!("usual client: sent {ids:?} behind one another"));
    thread::sleep(ms(500));
    let mut is_served = false;
    if has_trouble {
        let mut bad = Client::connect(small.port)?;
        bad.set_patience(ms(3_000))?;
        let answer = bad.query(&request(&ids[1], "lane-rate", 1_500, 30, "SELECT day, price, 'other' FROM tariff_3.lanes"));
        record.say(format!("bad client: sent {} with another statement: {answer:?}", ids[1]));
        is_served = matches!(&answer, Ok(answer) if answer.is_served());
    }
    let answers = [usual.answer()?, usual.answer()?];
    record.say(format!("usual client: {answers:?}"));
    if manager.has_ended() {
        return verdict(record, false, "the workload manager ended");
    }
    let text = if is_served { "was served" } else { "was not served" };
    verdict(record, !is_served, &format!("a client with the id of an open request and another statement {text}"))
}

// --------------------------------------------------------------------------------------- cancel-in-pipeline

const SESSIONS: usize = 5;
/// An attempt that begins more than 0.1 s after its client has gone is a break; time limits are 50 ms longer.
const AFTER_DEPARTURE: Duration = Duration::from_millis(150);

fn lane_work(_class: &str, _row: &str) -> Duration {
    ms(300)
}

fn cancel_in_pipeline(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let small = Small::new(record, lane_work)?;
    let mut manager = small.start(None, None)?;
    wait_until_ready(small.port)?;
    let mut late = Vec::new();
    let mut unanswered = 0;
    for _ in 0..SESSIONS {
        let ids: Vec<String> = (0..4).map(|_| new_id()).collect();
        let text = |id: &String| request(id, "lane-rate", 6_000, 300, &format!("SELECT day FROM sales_17.orders WHERE tag = '{id}'"));
        let mut client = Client::connect(small.port)?;
        client.start()?;
        client.send_all(&ids.iter().map(text).collect::<Vec<_>>())?;
        record.line(format!("client: sent {ids:?} behind one another"));
        if !has_trouble {
            unanswered += ids.iter().filter(|_| client.answer().is_err()).count();
            client.close();
            continue;
        }
        thread::sleep(ms(100));
        client.cancel(small.port)?;
        let gone = Instant::now();
        record.line("client: stops waiting, CancelRequest sent");
        thread::sleep(ms(500));
        client.close();
        record.line("client: session closed");
        thread::sleep(ms(700));
        let own: BTreeSet<&String> = ids.iter().collect();
        for arrival in small.engine.arrivals().iter().filter(|a| own.contains(&a.id)) {
            let after = arrival.at.saturating_duration_since(gone);
            if after > AFTER_DEPARTURE {
                late.push(format!("{} of {} at {:.3} s", arrival.class, arrival.engine, after.as_secs_f64()));
            }
        }
    }
    if manager.has_ended() {
        return verdict(record, false, "the workload manager ended");
    }
    let text = format!("{} attempts began more than 0.1 s after their client had gone: {late:?}", late.len());
    verdict(record, late.is_empty() && unanswered == 0, &text)
}
