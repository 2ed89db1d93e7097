#pragma once

#include "utils/result.h"

#include <string>
#include <string_view>

namespace Platform {

/*! The platform's object store. Calls block up to the time limit of the adapter. */
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /*!
        Stores an object, replacing one of the same name.
        \param name the object's name.
        \param content its bytes.
        \return success or an error.
    */
    virtual Utils::Status put(std::string_view name, std::string_view content) = 0;

    /*!
        Reads an object.
        \param name the object's name.
        \return its bytes; ErrorCode::NotFound if there is none.
    */
    virtual Utils::Result<std::string> get(std::string_view name) = 0;
};

} // namespace Platform
