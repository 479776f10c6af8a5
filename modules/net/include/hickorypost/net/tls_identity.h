#pragma once

#include "hickorypost/base/result.h"
#include "hickorypost/net/gobject_ptr.h"

#include <string>

namespace hickorypost::net {

/// A file of keys or certificates could not be used.
struct tls_error {
    std::string path;
    std::string detail;
};

/// This process's certificate and key, and the authority that signs its peers'.
class tls_identity {
public:
    /// Reads PEM files; fails with `tls_error` naming the file.
    static result<tls_identity> load(const std::string& certificate, const std::string& key,
                                     const std::string& authority);

    [[nodiscard]] GTlsCertificate* certificate() const noexcept { return certificate_.get(); }
    [[nodiscard]] GTlsDatabase* authority() const noexcept { return authority_.get(); }

private:
    gobject_ptr<GTlsCertificate> certificate_;
    gobject_ptr<GTlsDatabase> authority_;
};

} // namespace hickorypost::net
