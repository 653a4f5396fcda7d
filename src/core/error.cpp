// String conversions of errors.
#include "error.h"

namespace KingCupLadder {

const char *toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return "none";
    case ErrorKind::InvalidInput:
        return "invalid input";
    case ErrorKind::Unauthorized:
        return "unauthorized";
    case ErrorKind::NotAllowed:
        return "not allowed";
    case ErrorKind::NotFound:
        return "not found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::LimitReached:
        return "limit reached";
    case ErrorKind::NoRoom:
        return "no room";
    case ErrorKind::NeverFits:
        return "never fits";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::Timeout:
        return "timeout";
    case ErrorKind::OutcomeUnknown:
        return "outcome unknown";
    case ErrorKind::Stopping:
        return "stopping";
    }
    return "unknown";
}

std::string Error::text() const
{
    return remedy.empty() ? message : message + "; " + remedy;
}

} // namespace KingCupLadder
