#include "hickorypost/dispatch/state_machines.h"

#include "hickorypost/wire/codec.h"

namespace hickorypost::dispatch {

std::string records_machine::apply(const replog::entry& command)
{
    replica_.take_committed(command.index, command.wall_ms, command.data);
    return wire::encode(replica_.last_result());
}

std::string records_machine::read(std::string_view) const
{
    return wire::encode(replica_.state().list());
}

void records_machine::load(std::string_view state)
{
    replica_ = records::record_replica{options_};
    replica_.take_snapshot(state);
}

std::string ledger_machine::apply(const replog::entry& command)
{
    const auto batch = wire::try_decode<ledger::ledger_batch>(command.data);
    if (!batch) {
        return {};
    }
    return wire::encode(state_.apply(command.wall_ms, *batch));
}

std::string ledger_machine::read(std::string_view query) const
{
    const auto decoded = wire::try_decode<ledger::report_query>(query);
    return wire::encode(state_.report(decoded.value_or(ledger::report_query{})));
}

} // namespace hickorypost::dispatch
