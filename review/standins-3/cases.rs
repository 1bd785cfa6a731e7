//! The cases. Each returns whether its rule held.

use crate::kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn run(case: &str, record: &Record, has_trouble: bool) -> Outcome<bool> {
    match case {
        "slow-feed" => slow_feed(record, has_trouble),
        "id-in-pipeline" => id_in_pipeline(record, has_trouble),
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
    let mut manager = Manager::start(&Site { entries, feed: feed.address.clone(), port, tmp: &tmp })?;
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
    let arrivals: Vec<Duration> = leaving.arrivals().iter().map(|at| at.saturating_duration_since(drained)).collect();
    let late = arrivals.iter().filter(|after| **after > TOLD + DRAIN_GRACE + SLACK).count();
    let last = arrivals.iter().max().map_or(0.0, Duration::as_secs_f64);
    let lost = answers.lock().unwrap().iter().filter(|(at, kind, answer)| {
        kind == "ledger-load" && *at > ended && *at < ended + ms(700) && matches!(answer, Answer::Failed(_))
    }).count();
    let served = answers.lock().unwrap().iter().filter(|(_, _, answer)| answer.is_served()).count();
    record.say(format!("{served} requests served; the last one sent to b came {last:.3} s after the feed told of its drain"));
    record.say(format!("{lost} ledger-loads (never to run twice) failed because b ended with them, 12 s after its drain"));
    let text = format!(
        "{late} requests were sent to b later than 7 s (told at the latest) and 0.5 s (grace) after its drain was told"
    );
    verdict(record, late == 0, &text)
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

// ------------------------------------------------------------------------------------------- id-in-pipeline

fn report_work(class: &str, _row: &str) -> Duration {
    ms(if class == "lane-report" { 4_000 } else { 30 })
}

fn id_in_pipeline(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let engine = Engine::start("a", record, report_work)?;
    let (feed, tmp, port) = (Feed::start(record)?, Folder::create()?, free_port()?);
    let entries = vec![entry("s-a", &engine.address, "ready")];
    let mut manager = Manager::start(&Site { entries, feed: feed.address.clone(), port, tmp: &tmp })?;
    wait_until_ready(port)?;
    let ids = [new_id(), new_id()];
    let mut usual = Client::connect(port)?;
    usual.start()?;
    usual.send_all(&[
        request(&ids[0], "lane-report", 20_000, 12_000, "SELECT day, count(*), 'own' FROM sales_17.orders"),
        request(&ids[1], "lane-rate", 6_000, 30, "SELECT day, price, 'own' FROM tariff_3.lanes"),
    ])?;
    record.line(format!("usual client: sent {ids:?} behind one another"));
    thread::sleep(ms(500));
    let mut is_served = false;
    if has_trouble {
        let mut bad = Client::connect(port)?;
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
