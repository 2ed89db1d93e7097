#include "peercredentials.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>
#include <settings.pb.h>

namespace Peering {

namespace {

namespace Tls = grpc::experimental;

constexpr unsigned fileRefreshSeconds = 1;

bool hasCertificate(const Schema::SecuritySettings& security)
{
    return !security.certificate_file().empty();
}

bool isLoopback(std::string_view address)
{
    return address.starts_with("127.") || address == "::1";
}

std::shared_ptr<Tls::CertificateProviderInterface> watchFiles(const Schema::SecuritySettings& security)
{
    return std::make_shared<Tls::FileWatcherCertificateProvider>(
        security.key_file(), security.certificate_file(), security.authority_file(), fileRefreshSeconds);
}

} // namespace

std::string checkSecurity(const Schema::SecuritySettings& security, std::string_view address)
{
    const bool complete = !security.key_file().empty() && !security.authority_file().empty();
    if (hasCertificate(security) && !complete)
        return "[security] certificate_file: needs key_file and authority_file too";
    if (!hasCertificate(security) && !isLoopback(address))
        return "[security] certificate_file: is missing; only a loopback address may be listened on without "
               "it";
    return {};
}

std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const Schema::SecuritySettings& security)
{
    if (!hasCertificate(security))
        return grpc::InsecureServerCredentials();
    Tls::TlsServerCredentialsOptions options(watchFiles(security));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return Tls::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const Schema::SecuritySettings& security)
{
    if (!hasCertificate(security))
        return grpc::InsecureChannelCredentials();
    Tls::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(watchFiles(security));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    // Peers are addressed by IP address, so their certificates are checked against the authority, but not
    // against a host name.
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<Tls::NoOpCertificateVerifier>());
    return Tls::TlsCredentials(options);
}

} // namespace Peering
