// Defines silent_log, which turns logging off.
#ifndef TEST_SUPPORT_SILENT_LOG_H_
#define TEST_SUPPORT_SILENT_LOG_H_

#include <easylogging++.h>

namespace anvilloom {

// Turns logging off until it is destroyed, for simulations in which thousands
// of instances log the same.
class silent_log {
 public:
  silent_log() { SetEnabled("false"); }
  ~silent_log() { SetEnabled("true"); }
  silent_log(const silent_log&) = delete;
  silent_log& operator=(const silent_log&) = delete;

 private:
  static void SetEnabled(const char* enabled) {
    el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, enabled);
  }
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_SILENT_LOG_H_
