#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Daemon {

/*! The conditions that must hold for a daemon to be ready. Thread-safe. */
class Readiness {
public:
    /*!
        Adds or updates a condition.
        \param condition name of the condition, for example "configuration".
        \param problem why the condition does not hold; empty if it holds.
    */
    void set(std::string_view condition, std::string_view problem);

    /*! Returns whether all conditions set so far hold. */
    bool isReady() const;

    /*! Returns a JSON object with the problem of each condition, or "ok". */
    std::string toJson() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string, std::less<>> problems_;
};

} // namespace Daemon
