#include "hickorypost/dispatch/billing.h"

namespace hickorypost::dispatch {

std::int64_t price_run(const records::records_state& records, const model_version& target,
                       bool service, const wire::usage& used)
{
    if (service) {
        const auto* record = records.service(target.model);
        return record == nullptr ? 0 : record->price_per_call;
    }
    const auto* version = records.version(target);
    return version == nullptr ? 0 : ledger::cost_of(used, version->price_in, version->price_out);
}

ledger::request_outcome outcome_of(wire::run_outcome outcome) noexcept
{
    switch (outcome) {
    case wire::run_outcome::complete:
        return ledger::request_outcome::complete;
    case wire::run_outcome::cancelled:
        return ledger::request_outcome::cancelled;
    case wire::run_outcome::engine_error:
    case wire::run_outcome::deadline:
    case wire::run_outcome::lost:
        break;
    }
    return ledger::request_outcome::failed;
}

} // namespace hickorypost::dispatch
