#include "hickorypost/net/tls_identity.h"

namespace hickorypost::net {

result<tls_identity> tls_identity::load(const std::string& certificate, const std::string& key,
                                        const std::string& authority)
{
    tls_identity out;
    GError* raw = nullptr;
    out.certificate_.reset(
        g_tls_certificate_new_from_files(certificate.c_str(), key.c_str(), &raw));
    if (raw != nullptr) {
        const gerror_ptr error{raw};
        return leaf::new_error(tls_error{certificate + " and " + key, error->message});
    }
    out.authority_.reset(g_tls_file_database_new(authority.c_str(), &raw));
    if (raw != nullptr) {
        const gerror_ptr error{raw};
        return leaf::new_error(tls_error{authority, error->message});
    }
    return out;
}

} // namespace hickorypost::net
