// Defines the CPU time of a thread, for tests of costs on a shared machine.
#ifndef TEST_SUPPORT_THREAD_CPU_TIME_H_
#define TEST_SUPPORT_THREAD_CPU_TIME_H_

#include <ctime>

namespace anvilloom {

// CPU time that this thread has used, in microseconds.
inline double ThreadCpuUs() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) * 1e6 +
         static_cast<double>(spent.tv_nsec) / 1e3;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_THREAD_CPU_TIME_H_
