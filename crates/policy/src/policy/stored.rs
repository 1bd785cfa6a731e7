//! Conversion of the whole module to and from its stored form, field by field.

use crate::class_estimates::ClassEstimates;
use crate::engine_table::EngineTable;
use crate::load_estimate::LoadEstimator;
use crate::memory_grant::GrantEstimator;
use crate::outlier_detection::OutlierDetector;
use crate::own_load::OwnLoad;
use crate::policy::Policy;
use crate::pricing::PriceTable;
use crate::probe_credit::ProbeCredit;
use crate::request::Request;
use crate::request_queue::{KeyOrder, RequestQueue};
use crate::retry::RetryBudget;
use crate::snapshot::{StoredClass, StoredPolicy, StoredRequest};
use crate::tenant_quota::TenantQuotas;
use serde::{Serialize, Serializer};

impl Serialize for Policy {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        StoredPolicy::from(self).serialize(serializer)
    }
}

impl From<&Policy> for StoredPolicy {
    fn from(policy: &Policy) -> StoredPolicy {
        let mut stored = StoredPolicy {
            settings: policy.settings.clone(),
            random: policy.random.clone(),
            now: policy.now,
            started_at: policy.started_at,
            timer_armed: policy.is_timer_started,
            next_pricing: policy.next_pricing,
            next_watch: policy.next_watch,
            classes: policy.estimates.iter().map(|_| StoredClass::default()).collect(),
            requests: policy
                .requests
                .iter()
                .map(|(id, request)| (*id, StoredRequest::from(request)))
                .collect(),
            ..StoredPolicy::default()
        };
        policy
            .estimates
            .iter()
            .zip(&mut stored.classes)
            .for_each(|(estimates, class)| estimates.store(class));
        policy.grants.iter().zip(&mut stored.classes).for_each(|(grant, class)| grant.store(class));
        policy.prices.store(&mut stored);
        policy.engines.store(&mut stored);
        policy.outliers.store(&mut stored);
        policy.load.store(&mut stored);
        policy.own_load.store(&mut stored);
        policy.tenant_quotas.store(&mut stored);
        policy.queue.store(&mut stored);
        policy.key_order.store(&mut stored);
        policy.retry_budget.store(&mut stored);
        policy.probe_credit.store(&mut stored);
        stored
    }
}

impl From<StoredPolicy> for Policy {
    fn from(mut stored: StoredPolicy) -> Policy {
        let requests = std::mem::take(&mut stored.requests).into_iter();
        Policy {
            now: stored.now,
            started_at: stored.started_at,
            is_timer_started: stored.timer_armed,
            next_pricing: stored.next_pricing,
            next_watch: stored.next_watch,
            engines: EngineTable::restore(&mut stored),
            outliers: OutlierDetector::restore(&mut stored),
            load: LoadEstimator::restore(&stored),
            own_load: OwnLoad::restore(&stored),
            prices: PriceTable::restore(&stored),
            estimates: stored.classes.iter().map(ClassEstimates::restore).collect(),
            grants: stored.classes.iter().map(GrantEstimator::restore).collect(),
            tenant_quotas: TenantQuotas::restore(&mut stored),
            requests: requests.map(|(id, request)| (id, Request::from(request))).collect(),
            queue: RequestQueue::restore(&mut stored),
            key_order: KeyOrder::restore(&mut stored),
            retry_budget: RetryBudget::restore(&mut stored),
            probe_credit: ProbeCredit::restore(&stored),
            is_explaining: false,
            random: stored.random,
            settings: stored.settings,
        }
    }
}
