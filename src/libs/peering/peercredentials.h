#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace grpc {
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace Schema {
class SecuritySettings;
}

namespace Peering {

/*!
    Checks that a process that is reachable from other VMs uses mutual TLS.
    \param address IP address that the process listens on.
    \return a description of the error; empty with mutual TLS configured or a loopback address.
*/
std::string checkSecurity(const Schema::SecuritySettings& security, std::string_view address);

/*!
    Creates the credentials for listening: mutual TLS if a certificate is configured, otherwise insecure.
    The files are reread while the process runs, so they can be renewed.
*/
std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const Schema::SecuritySettings& security);

/*! Creates the credentials for connecting, with the same rules as makeServerCredentials(). */
std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const Schema::SecuritySettings& security);

} // namespace Peering
