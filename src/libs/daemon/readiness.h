#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Daemon {

/*! The conditions under which a daemon is ready. Safe for use from several threads. */
class Readiness {
public:
    /*!
        States one condition.
        \param condition its name, for example "configuration".
        \param problem why it does not hold; empty if it holds.
    */
    void set(std::string_view condition, std::string_view problem);

    /*! \return true if all conditions stated so far hold. */
    bool isReady() const;

    /*! \return the conditions and their problems as a JSON object. */
    std::string toJson() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string, std::less<>> problems_;
};

} // namespace Daemon
