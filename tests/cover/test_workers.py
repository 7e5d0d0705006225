"""Worker threads are reused, and run every task at once even if others hang."""

import threading

from geraniumshored.node.workers import WorkerThreads


def run_and_wait(workers: WorkerThreads) -> str:
    names: list[str] = []
    done = threading.Event()

    def task() -> None:
        names.append(str(threading.get_ident()))
        done.set()

    workers.run(task)
    assert done.wait(2.0)
    return names[0]


def wait_until_free(workers: WorkerThreads, free: int) -> None:
    pause = threading.Event()
    for _ in range(200):
        if workers._free == free:
            return
        pause.wait(0.01)
    raise AssertionError(f"{workers._free} threads are free")


def test_a_thread_is_reused():
    workers = WorkerThreads("w", 2)
    first = run_and_wait(workers)
    wait_until_free(workers, 1)
    assert run_and_wait(workers) == first


def test_a_task_does_not_wait_for_tasks_that_hang():
    workers = WorkerThreads("w", 2)
    release = threading.Event()

    def hang() -> None:
        release.wait(5.0)

    for _ in range(20):
        workers.run(hang)
    run_and_wait(workers)
    release.set()
    wait_until_free(workers, 2)


def test_an_exception_in_a_task_does_not_end_the_thread():
    workers = WorkerThreads("w", 1)

    def fault() -> None:
        raise RuntimeError("expected")

    workers.run(fault)
    wait_until_free(workers, 1)
    run_and_wait(workers)
