// Cooperative fibers on one thread. Each runs until it waits, and the test chooses which one
// resumes. Calls of several controllers can thus interleave in a reproducible order.
#pragma once

#include <ucontext.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/common_interface_defs.h>
#endif

namespace magpie::testing {

class Fiber {
 public:
  Fiber() : stack_(new char[kStackBytes]) {
    getcontext(&fiber_context_);
    fiber_context_.uc_stack.ss_sp = stack_.get();
    fiber_context_.uc_stack.ss_size = kStackBytes;
    fiber_context_.uc_link = nullptr;
    const auto self = reinterpret_cast<std::uintptr_t>(this);
    makecontext(&fiber_context_, reinterpret_cast<void (*)()>(&Fiber::Enter), 2,
                static_cast<unsigned>(self >> 32U), static_cast<unsigned>(self));
  }
  Fiber(const Fiber&) = delete;
  Fiber& operator=(const Fiber&) = delete;

  // The running fiber; null while the test itself runs.
  static Fiber* Current() { return current_; }
  bool idle() const { return work_ == nullptr; }

  // Runs `work` until it waits or ends. The fiber must be idle and the caller outside all fibers.
  void Run(std::function<void()> work) {
    work_ = std::move(work);
    Resume();
  }
  // Resumes waiting work until it waits again or ends.
  void Resume() {
    current_ = this;
    StartSwitch(&caller_fake_stack_, stack_.get(), kStackBytes);
    swapcontext(&caller_context_, &fiber_context_);
    FinishSwitch(caller_fake_stack_, nullptr, nullptr);
    current_ = nullptr;
  }
  // Suspends the running fiber until Resume(). Called only from the fiber itself.
  void Wait() {
    StartSwitch(&fiber_fake_stack_, caller_stack_bottom_, caller_stack_size_);
    swapcontext(&fiber_context_, &caller_context_);
    FinishSwitch(fiber_fake_stack_, &caller_stack_bottom_, &caller_stack_size_);
  }

 private:
  static constexpr std::size_t kStackBytes = 512UL * 1024;

  static void Enter(unsigned high, unsigned low) {
    auto* self = reinterpret_cast<Fiber*>((static_cast<std::uintptr_t>(high) << 32U) | low);
    FinishSwitch(nullptr, &self->caller_stack_bottom_, &self->caller_stack_size_);
    for (;;) {
      self->work_();
      self->work_ = nullptr;
      self->Wait();
    }
  }

#if defined(__SANITIZE_ADDRESS__)
  static void StartSwitch(void** fake_stack, const void* bottom, std::size_t size) {
    __sanitizer_start_switch_fiber(fake_stack, bottom, size);
  }
  static void FinishSwitch(void* fake_stack, const void** bottom, std::size_t* size) {
    __sanitizer_finish_switch_fiber(fake_stack, bottom, size);
  }
#else
  static void StartSwitch(void**, const void*, std::size_t) {}
  static void FinishSwitch(void*, const void**, std::size_t*) {}
#endif

  static inline thread_local Fiber* current_ = nullptr;

  std::unique_ptr<char[]> stack_;
  ucontext_t fiber_context_{};
  ucontext_t caller_context_{};
  void* fiber_fake_stack_ = nullptr;
  void* caller_fake_stack_ = nullptr;
  const void* caller_stack_bottom_ = nullptr;  // the caller's stack, as reported by the sanitizer
  std::size_t caller_stack_size_ = 0;
  std::function<void()> work_;
};

// Reuses idle fibers and allocates new ones on demand.
class FiberPool {
 public:
  Fiber& AcquireIdle() {
    for (const auto& fiber : fibers_)
      if (fiber->idle()) return *fiber;
    return *fibers_.emplace_back(std::make_unique<Fiber>());
  }

 private:
  std::vector<std::unique_ptr<Fiber>> fibers_;
};

}  // namespace magpie::testing
