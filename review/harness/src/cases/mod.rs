use crate::{Bench, Verdict};

mod cancel_at_upgrade;
mod large_requests;
mod many_fields;

pub fn run(case: &str, bench: &Bench) -> Verdict {
    match case {
        "cancel-at-upgrade" => cancel_at_upgrade::run(bench),
        "many-fields" => many_fields::run(bench),
        "large-requests" => large_requests::run(bench),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    }
}

/// Figures of the settings that a case sets.
pub struct Site {
    pub cores: f64,
    pub lane_rate_deadline: f64,
    pub load_deadline: f64,
    pub load_effect: &'static str,
    pub load_window: f64,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            cores: 12.0,
            lane_rate_deadline: 6.0,
            load_deadline: 25.0,
            load_effect: "idempotency_key",
            load_window: 15.0,
        }
    }
}

/// The settings of a small deployment in the form of the site file `fret-main`.
pub fn settings(site: &Site) -> String {
    let Site { cores, lane_rate_deadline, load_deadline, load_effect, load_window } = site;
    format!(
        r#"{{"kindOfService":"queries","zones":["hall-a","hall-b"],"az":0,"shapes":["std-12"],"siblings":1,"position":0,
"discovery":"push","tick":0.005,"weights":"rough","worthBy":"request","overShareWorth":0.05,"stage":0,"tiers":["query-fleet"],
"clients":{{"marksRetry":true}},
"profiles":[
{{"name":"lane-rate","value":1.0,"aim":1.2,"aimStretch":2.0,"deadline":{lane_rate_deadline},"lateWorth":0.0,"effect":"read_like","dedupScope":"all","repeatWindow":5.0,"streamed":false}},
{{"name":"lane-report","value":8.0,"aim":1.5,"aimStretch":2.5,"deadline":25.0,"lateWorth":0.4,"effect":"read_like","dedupScope":"all","repeatWindow":5.0,"streamed":false}},
{{"name":"tariff-load","value":5.0,"aim":4.0,"aimStretch":2.5,"deadline":{load_deadline},"lateWorth":0.6,"effect":"{load_effect}","dedupScope":"all","repeatWindow":{load_window},"streamed":false}}],
"customers":[{{"name":"sud-transport","portion":0.77,"quotaPerS":79.0}},{{"name":"nord-fret","portion":0.23,"quotaPerS":24.0}}],
"specifics":{{"classThreads":[1,3,2],"loads":[false,false,true],"yieldsToLoads":[true,true,false],"sizeCores":[{cores}],"ramOfKindMb":[24576.0],
"maxGrantShare":0.4,"memoryShort":"swap","priorities":true,"progressPace":1.0,"takesGrants":true,"tellsCost":true}},
"loadReport":{{"via":"piggyback","fields":["rif","q","x1","x0"]}},
"limits":{{"cancel":true,"connIdle":15.0,"connectTimeout":0.25,"maxAttempts":6,"maxOpen":26240,"maxRetryAfter":2.0,"maxStreams":32,
"peers":false,"probes":false,"retryAfter":false,"secondCopies":false}},
"invariants":{{"budgetShare":0.1,"freeResends":3.0,"ratioSpan":5.0,"cold":15.0,"drainGrace":0.5,"fallMultiple":2.5,"overloadFor":2.0,
"startCapacity":0.3,"graceToAnswer":0.02}},
"prices":{{"crossZone":0.04,"waste":0.028,"lateFail":0.035}}}}"#
    )
}

/// A request id that no other request of this run has.
pub fn request_id(number: u64) -> String {
    format!("{:016x}", 0x9b1f_03aa_0000_0000u64 + number * 0x10_0001)
}

/// One row of three columns.
pub fn one_row(text: &str) -> Vec<String> {
    vec![format!("{text}\tb\tc\n")]
}
