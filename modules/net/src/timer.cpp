#include "hickorypost/net/timer.h"

namespace hickorypost::net {

namespace {

struct callback {
    std::function<void()> hook;
    bool repeat = false;
};

gboolean run_callback(gpointer data)
{
    // The hook may cancel its own timer, which frees `data`: work on a copy.
    const callback it = *static_cast<callback*>(data);
    it.hook();
    return it.repeat ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void free_callback(gpointer data)
{
    delete static_cast<callback*>(data);
}

gsource_ptr attach(GSource* source, std::function<void()> hook, bool repeat)
{
    g_source_set_callback(source, run_callback, new callback{std::move(hook), repeat},
                          free_callback);
    g_source_attach(source, g_main_context_get_thread_default());
    return gsource_ptr{source};
}

} // namespace

timer timer::every(millis period, std::function<void()> hook)
{
    timer out;
    out.source_ =
        attach(g_timeout_source_new(static_cast<guint>(period.count())), std::move(hook), true);
    return out;
}

timer timer::once(millis delay, std::function<void()> hook)
{
    timer out;
    out.source_ =
        attach(g_timeout_source_new(static_cast<guint>(std::max<std::int64_t>(0, delay.count()))),
               std::move(hook), false);
    return out;
}

timer timer::when_idle(std::function<void()> hook)
{
    timer out;
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    out.source_ = attach(source, std::move(hook), false);
    return out;
}

void post(GMainContext* context, std::function<void()> hook)
{
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(source, run_callback, new callback{std::move(hook), false},
                          free_callback);
    g_source_attach(source, context);
    g_source_unref(source);
}

} // namespace hickorypost::net
