#include "entry/cloud_duties.h"

namespace anvilloom {

std::string_view Name(duty_result result) {
  switch (result) {
    case duty_result::kDone:
      return "done";
    case duty_result::kFenced:
      return "fenced";
    case duty_result::kUnavailable:
      return "unavailable";
    case duty_result::kRefused:
      return "refused";
    case duty_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace anvilloom
