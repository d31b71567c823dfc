"""Forecasts of run times and of free room on runners; pure code."""

from tamarackhatch.forecast._distribution import Distribution
from tamarackhatch.forecast._room import forecast_room
from tamarackhatch.forecast._room import Release
from tamarackhatch.forecast._room import RoomForecast
from tamarackhatch.forecast._room import RunnerRoom
from tamarackhatch.forecast._run_times import Evidence
from tamarackhatch.forecast._run_times import project_run_time
from tamarackhatch.forecast._run_times import RunInProgress
from tamarackhatch.forecast._run_times import RunTime
from tamarackhatch.forecast._run_times import RunTimeModel
from tamarackhatch.forecast._run_times import StepWork
from tamarackhatch.forecast._sketch import RunTimeSketch

__all__ = [
    "Distribution",
    "Evidence",
    "Release",
    "RoomForecast",
    "RunInProgress",
    "RunTime",
    "RunTimeModel",
    "RunTimeSketch",
    "RunnerRoom",
    "StepWork",
    "forecast_room",
    "project_run_time",
]
