#pragma once

#include <gio/gio.h>
#include <memory>

namespace hickorypost::net {

struct gobject_unref {
    void operator()(void* object) const noexcept { g_object_unref(object); }
};

/// Owns one reference of a GObject.
template <class T>
using gobject_ptr = std::unique_ptr<T, gobject_unref>;

struct gerror_free {
    void operator()(GError* error) const noexcept { g_error_free(error); }
};

using gerror_ptr = std::unique_ptr<GError, gerror_free>;

struct gsource_destroy {
    void operator()(GSource* source) const noexcept
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};

/// Owns an attached source; letting go detaches it, so its callback can never run again.
using gsource_ptr = std::unique_ptr<GSource, gsource_destroy>;

} // namespace hickorypost::net
