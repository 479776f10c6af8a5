#pragma once
/// The state machines to which a control host applies the replicated log of each group.

#include "hickorypost/ledger/ledger_state.h"
#include "hickorypost/records/freshness.h"
#include "hickorypost/replog/replica.h"
#include "hickorypost/replog/state_machine.h"

namespace hickorypost::dispatch {

/// Group 0: the operators' records, such as accounts, models and versions.
class records_machine final : public replog::state_machine {
public:
    explicit records_machine(records::freshness_options options)
        : options_{options}, replica_{options}
    {
    }

    std::string apply(const replog::entry& command) override;
    std::string read(std::string_view query) const override;
    std::string save() const override { return replica_.state().save(); }
    void load(std::string_view state) override;

    records::record_replica& replica() noexcept { return replica_; }
    [[nodiscard]] const records::record_replica& replica() const noexcept { return replica_; }

private:
    records::freshness_options options_;
    records::record_replica replica_;
};

/// Groups 1 and above: one partition of the usage ledger each.
class ledger_machine final : public replog::state_machine {
public:
    explicit ledger_machine(ledger::ledger_options options) : state_{options} {}

    std::string apply(const replog::entry& command) override;
    /// `query` is an encoded `ledger::report_query`.
    std::string read(std::string_view query) const override;
    std::string save() const override { return state_.save(); }
    void load(std::string_view state) override { state_.load(state); }

    [[nodiscard]] const ledger::ledger_state& state() const noexcept { return state_; }

private:
    ledger::ledger_state state_;
};

} // namespace hickorypost::dispatch
