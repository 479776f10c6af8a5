#include "hickorypost/wire/messages.h"

namespace hickorypost::wire {

std::string name_of(message_type type)
{
    switch (type) {
    case message_type::hello:
        return "hello";
    case message_type::heartbeat:
        return "heartbeat";
    case message_type::replog:
        return "replog";
    case message_type::core_status:
        return "core_status";
    case message_type::attach:
        return "attach";
    case message_type::site_query:
        return "site_query";
    case message_type::site_update:
        return "site_update";
    case message_type::backend_update:
        return "backend_update";
    case message_type::order:
        return "order";
    case message_type::order_reply:
        return "order_reply";
    case message_type::load_report:
        return "load_report";
    case message_type::version_report:
        return "version_report";
    case message_type::session_pins:
        return "session_pins";
    case message_type::probe_failure:
        return "probe_failure";
    case message_type::crash_facts:
        return "crash_facts";
    case message_type::backend_limit:
        return "backend_limit";
    case message_type::permit_requests:
        return "permit_requests";
    case message_type::permit_replies:
        return "permit_replies";
    case message_type::account_usage:
        return "account_usage";
    default:
        return "type_" + std::to_string(static_cast<unsigned>(type));
    }
}

} // namespace hickorypost::wire
