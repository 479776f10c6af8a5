#pragma once

#include "hickorypost/ledger/ledger_state.h"
#include "hickorypost/records/records_state.h"

namespace hickorypost::dispatch {

/// Prices a run by the records' price list. Services cost their price per call.
std::int64_t price_run(const records::records_state& records, const model_version& target,
                       bool service, const wire::usage& used);

ledger::request_outcome outcome_of(wire::run_outcome outcome) noexcept;

} // namespace hickorypost::dispatch
