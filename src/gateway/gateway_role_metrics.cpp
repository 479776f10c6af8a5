/// The metrics of a gateway host.

#include "gateway/gateway_role.h"
#include "hickorypost/base/process_memory.h"

#include <algorithm>

namespace hickorypost {

void gateway_role::collect_metrics(telemetry::metrics& metrics) const
{
    metrics.set("config_version",
                route_table_ ? static_cast<double>(route_table_->config().version) : 0);
    metrics.set("ready", ready() ? 1 : 0);
    metrics.set("backends_known", static_cast<double>(directory_.size()));
    metrics.set("backends_silent", static_cast<double>(directory_.silent()));
    metrics.set("backends_limited", static_cast<double>(limits_.all().size()));
    metrics.set("backends_backing_off", static_cast<double>(backoffs_.count()));
    const auto suspects = crash_ledger_.suspects();
    metrics.set("request_suspects", static_cast<double>(suspects.size()));
    metrics.set(
        "requests_refused_as_crashing",
        static_cast<double>(std::count_if(suspects.begin(), suspects.end(),
                                          [](const auto& suspect) { return suspect.refused; })));
    metrics.set("prompt_parts_refused",
                static_cast<double>(
                    std::count_if(suspects.begin(), suspects.end(), [](const auto& suspect) {
                        return suspect.refused && gateway::is_part(suspect.identity);
                    })));
    metrics.set("backend_connections{state=\"idle\"}",
                static_cast<double>(pool_.idle_connections()));
    metrics.set("backend_connections{state=\"busy\"}",
                static_cast<double>(pool_.busy_connections()));
    metrics.set("backend_connections_opened", static_cast<double>(pool_.opened_connections()));
    metrics.set("backend_connections_stale", static_cast<double>(pool_.stale_connections()));
    metrics.set("caller_connections", static_cast<double>(callers_server_->connections()));
    metrics.set("caller_connections_evicted", static_cast<double>(callers_server_->evicted()));
    metrics.set("caller_inputs_ended", static_cast<double>(callers_server_->inputs_ended()));
    metrics.set("listeners_waiting", static_cast<double>(listeners_waiting()));
    metrics.set("overloaded", callers_server_->is_overloaded() ? 1 : 0);
    metrics.set("memory_limit_bytes", static_cast<double>(config_.memory_bytes));
    metrics.set("memory_unaccounted_bytes", static_cast<double>(memory_guard_.unaccounted_bytes()));
    metrics.set("memory_resident_bytes", static_cast<double>(resident_memory_bytes()));
    const auto set_buffered = [&](std::string_view what, std::size_t bytes) {
        metrics.set("buffered_bytes{of=\"" + std::string{what} + "\"}", static_cast<double>(bytes));
    };
    const auto buffered = callers_server_->buffered();
    set_buffered("requests", buffered.requests);
    set_buffered("answers", buffered.answers);
    set_buffered("backend_requests", pool_.unsent_bytes());
    set_buffered("kernel_unsent", buffered.kernel_unsent);
    set_buffered("kernel_unread", buffered.kernel_unread);
    const auto set_budget = [&](std::string_view of, const gateway::buffer_budget& budget) {
        const std::string label = "{of=\"" + std::string{of} + "\"}";
        metrics.set("buffer_budget_used_bytes" + label, static_cast<double>(budget.used()));
        metrics.set("buffer_budget_limit_bytes" + label, static_cast<double>(budget.limit()));
    };
    set_budget("requests", *request_buffers_);
    set_budget("answers", *answer_buffers_);
    set_budget("control", *control_buffers_);
    metrics.set("requests_in_flight", static_cast<double>(callers_server_->in_flight()));
    metrics.set("control_unsent_bytes", static_cast<double>(control_server_->unsent_bytes()));
    metrics.set("link_unsent_bytes", static_cast<double>(mesh_->unsent_bytes()));
    metrics.set("link_buffer_bytes", static_cast<double>(mesh_->buffer_bytes()));
    mesh_->traffic().collect(metrics);
    metrics.set("hosts", static_cast<double>(control_->host_count()));
    metrics.set("log_lines_dropped", static_cast<double>(telemetry::dropped_log_lines()));
    metrics.set("failure_domains_evacuated",
                static_cast<double>(control_->state().evacuated_domains.size()));
    load_report_->set_gauges(metrics);
    metrics.set("site_revision", static_cast<double>(control_->state().revision));
    if (const auto* group = control_->group(); group != nullptr) {
        metrics.set("control_log_term", static_cast<double>(group->core().term()));
        metrics.set("control_log_commit_index", static_cast<double>(group->core().commit_index()));
        metrics.set("control_log_leads",
                    group->core().role() == replog::replica_role::leader ? 1 : 0);
    }
}

} // namespace hickorypost
