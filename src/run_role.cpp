/// Starts the roles of a settings file, waits for a signal, and shuts them down gracefully.

#include "agent_role.h"
#include "control_role.h"
#include "entry_role.h"
#include "hickorypost/storage/file_system.h"
#include "verbs.h"

#include <glib-unix.h>
#include <iostream>

namespace hickorypost {

namespace {

/// The main loop with its roles. The first signal drains; the second ends at once.
class process {
public:
    explicit process(const settings& config)
        : loop_{g_main_loop_new(nullptr, FALSE)}, spans_{config.node.trace_file, "hickorypost",
                                                         config.node.name},
          random_{system_random_fn()}, env_{config,
                                            random_(),
                                            system_clock_fn(),
                                            system_wall_clock_fn(),
                                            random_,
                                            telemetry::make_logger(
                                                config.node.name,
                                                config.node.log_json ? telemetry::log_form::json
                                                                     : telemetry::log_form::text,
                                                spdlog::level::from_str(config.node.log_level)),
                                            metrics_,
                                            spans_,
                                            nullptr,
                                            [this](std::string_view why) { fail(why); }}
    {
    }

    ~process()
    {
        roles_.clear();
        g_main_loop_unref(loop_);
    }
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    result<void> start(std::string_view which)
    {
        const settings& config = env_.config;
        if (config.tls.on) {
            BOOST_LEAF_ASSIGN(tls_, net::tls_identity::load(config.tls.certificate, config.tls.key,
                                                            config.tls.authority));
            env_.tls = &*tls_;
        }
        const auto wanted = [&](std::string_view name) {
            return which == name || which == "serve";
        };
        if (config.control && wanted("control")) {
            BOOST_LEAF_AUTO(it, control_role::start(env_));
            roles_.push_back(std::move(it));
        }
        if (config.agent && wanted("agent")) {
            BOOST_LEAF_AUTO(it, agent_role::start(env_));
            roles_.push_back(std::move(it));
        }
        if (config.entry && wanted("entry")) {
            BOOST_LEAF_AUTO(it, entry_role::start(env_));
            roles_.push_back(std::move(it));
        }
        return {};
    }

    [[nodiscard]] bool any_role() const noexcept { return !roles_.empty(); }

    exit_code run()
    {
        g_unix_signal_add(SIGTERM, on_signal, this);
        g_unix_signal_add(SIGINT, on_signal, this);
        g_main_loop_run(loop_);
        return code_;
    }

private:
    static gboolean on_signal(gpointer data)
    {
        static_cast<process*>(data)->shut_down();
        return G_SOURCE_CONTINUE;
    }

    void shut_down()
    {
        if (draining_) {
            env_.log->warn("second signal: ending at once");
            g_main_loop_quit(loop_);
            return;
        }
        draining_ = true;
        env_.log->info("shutting down: finishing what is in flight");
        left_ = roles_.size();
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

    GMainLoop* loop_;
    telemetry::metrics metrics_;
    telemetry::span_exporter spans_;
    random_fn random_;
    runtime env_;
    std::optional<net::tls_identity> tls_;
    std::vector<std::unique_ptr<role>> roles_;
    std::size_t left_ = 0;
    bool draining_ = false;
    exit_code code_ = exit_code::done;
};

exit_code run_with(const settings& config, std::string_view which)
{
    process it{config};
    return leaf::try_handle_all(
        [&]() -> result<exit_code> {
            BOOST_LEAF_CHECK(it.start(which));
            if (!it.any_role()) {
                std::cerr << config.path << ": expected a section [" << which << "]\n";
                return exit_code::usage;
            }
            return it.run();
        },
        [](const storage::storage_error& error) {
            std::cerr << "hickorypost: " << storage::describe(error) << "\n";
            return exit_code::failed;
        },
        [](const net::listen_error& error) {
            std::cerr << "hickorypost: " << error.address << ": cannot listen: " << error.detail
                      << "\n";
            return exit_code::failed;
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
    if (args.size() != 2) {
        std::cerr << "expected one settings file; see hickorypost help " << args[0] << "\n";
        return exit_code::usage;
    }
    return value_or_handle<settings_error>(
        [&]() -> result<exit_code> {
            BOOST_LEAF_AUTO(config, load_settings(args[1]));
            return run_with(config, args[0]);
        },
        [](const settings_error& error) {
            std::cerr << describe(error) << "\n";
            return exit_code::usage;
        });
}

} // namespace hickorypost
