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
    Checks that a process that is reachable from other VMs proves itself and its peers.
    \param security files of key, certificate and authorities.
    \param address IP number listened on.
    \return what is wrong; empty if mutual TLS is set up or the address is loopback.
*/
std::string checkSecurity(const Schema::SecuritySettings& security, std::string_view address);

/*!
    Credentials for listening: mutual TLS if a certificate is set, else plain.
    The files are read again while the process runs, so that they can be renewed.
    \param security files of key, certificate and authorities.
    \return the credentials.
*/
std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const Schema::SecuritySettings& security);

/*! \overload \return the credentials for connecting. */
std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const Schema::SecuritySettings& security);

} // namespace Peering
