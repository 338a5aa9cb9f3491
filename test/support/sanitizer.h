// Defines kSanitized, whether the tests run with a sanitizer that adds to the
// memory of the programs.
#ifndef TEST_SUPPORT_SANITIZER_H_
#define TEST_SUPPORT_SANITIZER_H_

namespace anvilloom {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool kSanitized = true;
#else
inline constexpr bool kSanitized = false;
#endif

}  // namespace anvilloom

#endif  // TEST_SUPPORT_SANITIZER_H_
