#include "common/rcu.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" {
void __tsan_acquire(void* address);
void __tsan_release(void* address);
}
#endif

namespace anvilloom {

namespace {

// ThreadSanitizer does not recognize liburcu's grace periods. These annotations
// order the end of each read-side section before the return of RcuSynchronize.
#if defined(__SANITIZE_THREAD__)
char g_grace_period_tag;
void AnnotateReadEnd() {
  __tsan_release(&g_grace_period_tag);
}
void AnnotateGracePeriodEnd() {
  __tsan_acquire(&g_grace_period_tag);
}
#else
void AnnotateReadEnd() {}
void AnnotateGracePeriodEnd() {}
#endif

// Registers the thread with liburcu for the lifetime of the thread.
class thread_registration {
 public:
  thread_registration() { urcu_memb_register_thread(); }
  ~thread_registration() { urcu_memb_unregister_thread(); }
  thread_registration(const thread_registration&) = delete;
  thread_registration& operator=(const thread_registration&) = delete;
};

void EnsureRegistered() {
  thread_local thread_registration registration;
}

}  // namespace

namespace internal {

void RcuSynchronize() {
  urcu_memb_synchronize_rcu();
  AnnotateGracePeriodEnd();
}

}  // namespace internal

rcu_read_guard::rcu_read_guard() {
  EnsureRegistered();
  urcu_memb_read_lock();
}

rcu_read_guard::~rcu_read_guard() {
  AnnotateReadEnd();
  urcu_memb_read_unlock();
}

}  // namespace anvilloom
