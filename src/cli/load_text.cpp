#include "cli/load_text.h"

#include <fmt/core.h>
#include <iterator>

namespace hickorypost {

std::string format_load(const gateway::load_view& load)
{
    std::string out = fmt::format("host {}\n", load.host);
    const auto to = std::back_inserter(out);
    if (load.engines.empty()) {
        out += "  engines: none\n";
    } else {
        fmt::format_to(to, "  {:<32}  {:<16}  {:>8}  {:>10}  {:>8}  {:>10}\n", "engine", "service",
                       "requests", "prefill ms", "slowdown", "KV tokens");
    }
    for (const auto& it : load.engines) {
        fmt::format_to(to, "  {:<32}  {:<16}  {:>8.0f}  {:>10.0f}  {:>8.2f}  {:>10.0f}\n",
                       it.backend, it.service, it.requests, it.prefill_ms, it.slowdown, it.tokens);
    }
    if (load.waiting.empty()) {
        out += "  waiting requests: none\n";
    } else {
        fmt::format_to(to, "  {:<32}  {:<16}  {:>8}\n", "waiting for", "route", "requests");
    }
    for (const auto& it : load.waiting) {
        fmt::format_to(to, "  {:<32}  {:<16}  {:>8}\n", it.service, it.route, it.requests);
    }
    if (load.rejections.empty()) {
        out += "  rejected since start: none\n";
    } else {
        fmt::format_to(to, "  {:<50}  {:>8}\n", "rejected since start", "requests");
    }
    for (const auto& it : load.rejections) {
        fmt::format_to(to, "  {:<50}  {:>8}\n", it.reason, it.requests);
    }
    if (load.accounts.empty()) {
        out += "  accounts with work: none\n";
    } else {
        fmt::format_to(to, "  {:<32}  {:>10}  {:>10}  {}\n", "account", "ms per s", "share",
                       "over share");
    }
    for (const auto& it : load.accounts) {
        fmt::format_to(to, "  {:<32}  {:>10.1f}  {:>10.1f}  {}\n", it.account, it.ms_per_s,
                       it.share_ms_per_s, it.over_share ? "yes" : "no");
    }
    return out;
}

} // namespace hickorypost
