#include "gypsumstep/base/finding.h"

namespace gypsumstep {

std::string to_string(const finding& value)
{
    return value.place.file + ":" + std::to_string(value.place.line) + ":" +
           std::to_string(value.place.column) + ": " + value.path + ": " + value.message;
}

} // namespace gypsumstep
