#pragma once

#include <fleet.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fleet {

/*! A row that holds a job's record or a part of it. */
struct JobRow {
    std::string key;
    std::string value;
};

/*! Longest checkpoint of a task that is stored, in bytes. */
inline constexpr std::size_t maxCheckpointBytes = 128;

/*! Longest identifier of a job, in bytes. Together with the number of a part it fits into a row's key. */
inline constexpr std::size_t maxJobIdBytes = 64;

/*!
    \return whether \p id can be the identifier of a job: letters, digits, hyphens and underscores, so that
   the keys of rows and the names of tasks are unambiguous.
*/
bool isJobId(std::string_view id);

/*! \return the key of a part of a job's record. \param number from 1 on. */
std::string jobPartKey(std::string_view job, std::uint32_t number);

/*!
    Divides a job's record into rows. The borders between the parts do not depend on the states of the tasks,
   so a change of some tasks changes only the parts that hold them.

    \param maxRowBytes greatest size of a value.
    \return the rows, the first under the job's identifier.
*/
std::vector<JobRow> toJobRows(const FleetSchema::JobRecord& record, std::size_t maxRowBytes);

/*!
    Checks that a job's record can be stored, whatever becomes of its tasks.

    \param maxRowBytes greatest size of a value.
    \return an empty string if it can be stored, or else an error message.
*/
std::string validateJobSize(const FleetSchema::JobSpec& spec, std::size_t maxRowBytes);

/*! Puts the records of jobs together from their rows. */
class JobRowReader {
public:
    /*!
        Reads a row; the rows of a job may come in any order.
        \return the job's record, if all its rows have been read.
    */
    std::optional<FleetSchema::JobRecord> read(const std::string& key, const std::string& value);

    /*! \return the keys of the rows read that belong to no complete record. */
    std::vector<std::string> incompleteRows() const;

private:
    struct Parts {
        std::optional<FleetSchema::JobRecord> first;
        std::map<std::uint32_t, FleetSchema::JobRecord> others; //!< By number.
    };

    std::map<std::string, Parts> incomplete_; //!< By job.
    std::vector<std::string> unreadable_;
};

} // namespace Fleet
