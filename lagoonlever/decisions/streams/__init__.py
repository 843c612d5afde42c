"""The life of a stream or generation: attempts, places, resumes, silences."""
