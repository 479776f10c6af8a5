#pragma once

#include "hickorypost/ledger/ledger_state.h"
#include "hickorypost/records/records_state.h"

namespace hickorypost::dispatch {

/// Cost of a run in millionths of the currency unit, at the prices in `records`: per token for a
/// model, per call for a service. Returns 0 if the target is not in the records.
std::int64_t price_run(const records::records_state& records, const model_version& target,
                       bool service, const wire::usage& used);

/// Outcome of a request that ended with this run; any error or loss counts as failed.
ledger::request_outcome outcome_of(wire::run_outcome outcome) noexcept;

} // namespace hickorypost::dispatch
