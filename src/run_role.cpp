/// Starts the roles of a settings file, waits for a signal, and shuts them down gracefully.

#include "agent_role.h"
#include "control_role.h"
#include "entry_role.h"
#include "gateway/gateway_role.h"
#include "hickorypost/base/process_memory.h"
#include "hickorypost/storage/file_system.h"
#include "signal_watch.h"
#include "verbs.h"

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <iostream>
#include <optional>

namespace hickorypost {

namespace {

std::shared_ptr<spdlog::logger> logger_for(const settings& config)
{
    const auto level = spdlog::level::from_str(config.node.log_level);
    if (config.gateway && config.node.log_json) {
        return telemetry::make_event_logger(config.node.name, level);
    }
    const auto form = config.node.log_json ? telemetry::log_form::json : telemetry::log_form::text;
    return telemetry::make_logger(config.node.name, form, level);
}

/// Polling interval for changes of the settings file that no signal announces.
constexpr millis settings_poll{2000};

/// Interval of attempts to start a role whose address or data directory is taken.
constexpr millis start_retry_delay{200};

/// A file that was written less than this ago may still be incomplete, and is read again for as
/// long.
constexpr millis settings_grace{2000};
constexpr millis settings_retry_delay{100};

/// Time of the last write; the epoch if it is unknown.
std::filesystem::file_time_type written_at(const std::string& path)
{
    std::error_code ec;
    const auto out = std::filesystem::last_write_time(path, ec);
    return ec ? std::filesystem::file_time_type{} : out;
}

/// Whether the file may be missing or incomplete only because it is being written.
bool may_be_unfinished(const std::string& path)
{
    std::error_code ec;
    const auto written = std::filesystem::last_write_time(path, ec);
    return ec ? ec == std::errc::no_such_file_or_directory
              : std::filesystem::file_time_type::clock::now() - written < settings_grace;
}

/// The main loop with its roles. SIGTERM drains; a second SIGINT exits at once.
class process {
public:
    process(const settings& config, signal_watch& signals)
        : signals_{signals}, loop_{g_main_loop_new(nullptr, FALSE)}, spans_{config.node.trace_file,
                                                                            "hickorypost",
                                                                            config.node.name},
          random_{system_random_fn()}, env_{config,
                                            random_(),
                                            system_clock_fn(),
                                            system_wall_clock_fn(),
                                            random_,
                                            logger_for(config),
                                            metrics_,
                                            spans_,
                                            nullptr,
                                            [this](std::string_view why) { fail(why); }}
    {
    }

    ~process()
    {
        signals_.on_terminate = nullptr;
        signals_.on_interrupt = nullptr;
        signals_.on_hangup = nullptr;
        roles_.clear();
        g_main_loop_unref(loop_);
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Loads the TLS identity and selects the roles.
    result<void> prepare(std::string_view which)
    {
        const settings& config = env_.config;
        if (config.tls.on) {
            BOOST_LEAF_ASSIGN(tls_, net::tls_identity::load(config.tls.certificate, config.tls.key,
                                                            config.tls.authority));
            env_.tls = &*tls_;
        }
        const auto add = [&](bool configured, std::string_view name, role_starter start) {
            if (configured && (which == name || which == "serve")) {
                to_start_.push_back(std::move(start));
            }
        };
        add(config.control.has_value(), "control", starter<control_role>());
        add(config.agent.has_value(), "agent", starter<agent_role>());
        add(config.entry.has_value(), "entry", starter<entry_role>());
        add(config.gateway.has_value(), "gateway", [this]() -> result<std::unique_ptr<role>> {
            BOOST_LEAF_AUTO(it, gateway_role::start(env_));
            settings_written_ = written_at(env_.config.path);
            settings_timer_ = net::timer::every(settings_poll, [this] { look_at_settings(); });
            return it;
        });
        return {};
    }

    [[nodiscard]] bool any_role() const noexcept { return !to_start_.empty(); }

    exit_code run()
    {
        signals_.on_terminate = [this] { shut_down(); };
        signals_.on_interrupt = [this] { interrupt(); };
        signals_.on_hangup = [this] { reload(); };
        if (const auto& names = signals_.inherited_blocks(); !names.empty()) {
            env_.log->warn("signals blocked by the parent process: {}", names);
        }
        start_roles();
        if (code_ == exit_code::done) {
            g_main_loop_run(loop_);
        }
        return code_;
    }

private:
    using role_starter = std::function<result<std::unique_ptr<role>>()>;

    template <class R>
    role_starter starter()
    {
        return [this]() -> result<std::unique_ptr<role>> {
            BOOST_LEAF_AUTO(it, R::start(env_));
            return it;
        };
    }

    /// Starts the roles that have not started. One that meets a transient fault is tried again.
    void start_roles()
    {
        leaf::try_handle_all(
            [&]() -> result<void> {
                while (!to_start_.empty()) {
                    BOOST_LEAF_AUTO(it, to_start_.front()());
                    roles_.push_back(std::move(it));
                    to_start_.pop_front();
                }
                start_timer_.cancel();
                return {};
            },
            [&](const storage::storage_error& error) {
                cannot_start(storage::describe(error),
                             error.fault == storage::storage_fault::locked);
            },
            [&](const net::listen_error& error) {
                cannot_start(error.address + ": cannot listen: " + error.detail, error.transient);
            },
            [&] { cannot_start("cannot start", false); });
    }

    void cannot_start(std::string why, bool transient)
    {
        if (!transient) {
            std::cerr << "hickorypost: " << why << "\n";
            code_ = exit_code::failed;
            g_main_loop_quit(loop_);
            return;
        }
        if (why != start_failure_) {
            env_.log->warn("start waits: {}", why);
            start_failure_ = std::move(why);
        }
        if (!start_timer_.armed()) {
            start_timer_ = net::timer::every(start_retry_delay, [this] { start_roles(); });
        }
    }

    void interrupt()
    {
        if (draining_) {
            env_.log->warn("second interrupt: ending at once");
            g_main_loop_quit(loop_);
        } else {
            shut_down();
        }
    }

    void look_at_settings()
    {
        if (const auto now = written_at(env_.config.path); now != settings_written_) {
            settings_written_ = now;
            reload();
        }
    }

    void reload()
    {
        value_or_handle<settings_error>(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(config, load_settings(env_.config.path));
                for (auto& it : roles_) {
                    it->reload(config);
                }
                return true;
            },
            [&](const settings_error& error) {
                env_.log->error("settings not applied: {}", describe(error));
                return false;
            });
    }

    void shut_down()
    {
        if (draining_) {
            // Platforms repeat the signal; exiting now would cut requests that still have time.
            env_.log->info("SIGTERM while draining, ignored");
            return;
        }
        draining_ = true;
        env_.log->info("shutting down: finishing what is in flight");
        to_start_.clear();
        start_timer_.cancel();
        left_ = roles_.size();
        if (left_ == 0) {
            g_main_loop_quit(loop_);
        }
        for (auto& it : roles_) {
            it->drain([this, done = false]() mutable {
                if (!std::exchange(done, true) && --left_ == 0) {
                    g_main_loop_quit(loop_);
                }
            });
        }
    }

    void fail(std::string_view why)
    {
        env_.log->critical("{}", why);
        code_ = exit_code::failed;
        g_main_loop_quit(loop_);
    }

    signal_watch& signals_;
    GMainLoop* loop_;
    telemetry::metrics metrics_;
    telemetry::span_exporter spans_;
    random_fn random_;
    runtime env_;
    std::optional<net::tls_identity> tls_;
    std::deque<role_starter> to_start_;
    std::string start_failure_; ///< why the next role could not start; logged when it changes
    net::timer start_timer_;
    std::vector<std::unique_ptr<role>> roles_;
    net::timer settings_timer_;
    std::filesystem::file_time_type settings_written_;
    std::size_t left_ = 0;
    bool draining_ = false;
    exit_code code_ = exit_code::done;
};

exit_code run_with(const settings& config, std::string_view which, signal_watch& signals)
{
    process it{config, signals};
    return leaf::try_handle_all(
        [&]() -> result<exit_code> {
            BOOST_LEAF_CHECK(it.prepare(which));
            if (!it.any_role()) {
                std::cerr << config.path << ": expected a section [" << which << "]\n";
                return exit_code::usage;
            }
            return it.run();
        },
        [](const net::tls_error& error) {
            std::cerr << "hickorypost: " << error.path << ": " << error.detail << "\n";
            return exit_code::failed;
        },
        [] { return exit_code::failed; });
}

} // namespace

exit_code run_role(std::span<char*> args)
{
    const char* const named = std::getenv("HICKORYPOST_CONFIG");
    const char* const path = args.size() == 2 ? args[1] : named;
    if (args.size() > 2 || path == nullptr) {
        std::cerr << "expected one settings file; see hickorypost help " << args[0] << "\n";
        return exit_code::usage;
    }
    set_up_allocator();
    signal_watch signals; // before the settings are read: later signals must not end the process
    const clock_fn now = system_clock_fn();
    const instant give_up = now() + settings_grace;
    for (;;) {
        std::string faults;
        const auto config = value_or_handle<settings_error>(
            [&]() -> result<std::optional<settings>> {
                BOOST_LEAF_AUTO(it, load_settings(path));
                return std::optional{std::move(it)};
            },
            [&](const settings_error& error) {
                faults = describe(error);
                return std::optional<settings>{};
            });
        if (config) {
            return run_with(*config, args[0], signals);
        }
        if (now() >= give_up || !may_be_unfinished(path)) {
            std::cerr << faults << "\n";
            return exit_code::usage;
        }
        if (!signals.wait_for(settings_retry_delay)) {
            return exit_code::done;
        }
    }
}

} // namespace hickorypost
