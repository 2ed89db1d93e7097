#include <requests/vmabsence.h>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

const std::vector<std::string> candidates { "a", "b" };
constexpr Utils::TimePoint origin {};

} // namespace

TEST_CASE("A VM is gone after it was missing and silent for long")
{
    Requests::VmAbsence absence(10s);
    CHECK(absence.gone(candidates, origin).empty());
    absence.listed({ "a" });
    CHECK(absence.gone(candidates, origin).empty());
    CHECK(absence.gone(candidates, origin + 9s).empty());
    CHECK(absence.gone(candidates, origin + 10s) == std::vector<std::string> { "b" });
}

TEST_CASE("A VM that speaks or is listed again is not gone")
{
    Requests::VmAbsence absence(10s);
    absence.listed({ "a" });
    absence.gone(candidates, origin);
    absence.heard("b", origin + 5s);
    CHECK(absence.gone(candidates, origin + 14s).empty());
    absence.listed({ "a", "b" });
    CHECK(absence.gone(candidates, origin + 30s).empty());
    absence.listed({ "a" });
    CHECK(absence.gone(candidates, origin + 31s).empty());
}
